"""Settings of the daemon, from flags and environment variables."""

import ipaddress
import pathlib
import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import click
import msgspec

from ..core import errors

ENVIRONMENT_PREFIX = "MARJORAMUSHER"
NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
MIN_TOKEN_BYTES = 16
MAX_TOKEN_BYTES = 4096


class Address(msgspec.Struct, frozen=True):
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``, with brackets around an IPv6 address."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    @property
    def is_loopback(self) -> bool:
        """Tell whether only this machine can reach the address."""
        return ipaddress.ip_address(self.host).is_loopback


class SettingFault(msgspec.Struct, frozen=True):
    """A setting that breaks its rule."""

    setting: str
    value: str
    rule: str

    def __str__(self) -> str:
        """Return one line for the operator."""
        return f"--{self.setting} {self.value!r}: {self.rule}"


class InvalidSettingsError(errors.MarjoramusherError):
    """One or more settings break their rules."""

    def __init__(self, faults: list[SettingFault]) -> None:
        super().__init__(
            errors.ErrorCode.INVALID_SETTING, "\n".join(str(fault) for fault in faults)
        )
        self.faults = faults


class Settings(msgspec.Struct, frozen=True):
    """Checked settings of one instance.

    Parameters
    ----------
    data_dir : pathlib.Path or None
        Folder for durable state; ``None`` for an instance without a disk.
    bootstrap_expect : int
        Number of instances that must be known before the groups are formed.
    drain_timeout_s : float
        Longest time that a graceful shutdown waits for requests in progress.
    """

    instance_id: str
    failure_domain: str
    region: str
    listen: Address
    advertise_url: str
    peer_listen: Address
    seeds: tuple[Address, ...]
    data_dir: pathlib.Path | None
    bootstrap_expect: int
    operator_token: bytes | None
    instance_token: bytes | None
    fault_injection: bool
    drain_timeout_s: float


def _name(value: Any) -> str:
    if not NAME.fullmatch(value):
        raise ValueError(
            "must be 1 to 63 lower-case letters, digits or hyphens, "
            "with no hyphen at either end"
        )
    return value


def _address(value: Any) -> Address:
    host, _, port = str(value).rpartition(":")
    try:
        ip = ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise ValueError("must be IP:PORT, with the port from 1 to 65535") from None
    if not 1 <= number <= 65535:
        raise ValueError("must be IP:PORT, with the port from 1 to 65535")
    return Address(str(ip), number)


def _addresses(value: Any) -> tuple[Address, ...]:
    return tuple(_address(part) for part in str(value).split(",") if part)


def _count(value: Any) -> int:
    number = int(value)
    if not 1 <= number <= 1000:
        raise ValueError("must be a number of instances from 1 to 1000")
    return number


def _seconds(value: Any) -> float:
    number = float(value)
    if not 0 <= number <= 3600:
        raise ValueError("must be from 0 to 3600 seconds")
    return number


def _token(value: Any) -> bytes | None:
    if not value:
        return None
    try:
        token = pathlib.Path(value).read_bytes().strip()
    except OSError as error:
        raise ValueError(f"must name a readable file ({error.strerror})") from None
    if not MIN_TOKEN_BYTES <= len(token) <= MAX_TOKEN_BYTES:
        raise ValueError(
            f"must name a file with {MIN_TOKEN_BYTES} to {MAX_TOKEN_BYTES} bytes"
        )
    return token


def _url(value: Any) -> str:
    if value and not re.fullmatch(r"https?://[^/\s]+", value):
        raise ValueError("must be http://HOST:PORT without a path")
    return value


def _plain(value: Any) -> Any:
    return value


PARSERS: dict[str, Callable[[Any], Any]] = {
    "instance-id": _name,
    "failure-domain": _name,
    "region": _name,
    "listen": _address,
    "advertise-url": _url,
    "peer-listen": _address,
    "seeds": _addresses,
    "data-dir": _plain,
    "diskless": _plain,
    "bootstrap-expect": _count,
    "operator-token-file": _token,
    "instance-token-file": _token,
    "enable-fault-injection": _plain,
    "drain-timeout-s": _seconds,
}

OPTIONS: tuple[Callable[..., Any], ...] = (
    click.option("--instance-id", default="instance-1", help="Id of this instance."),
    click.option("--failure-domain", default="default", help="Its failure domain."),
    click.option("--region", default="default", help="Its region."),
    click.option("--listen", default="127.0.0.1:8420", help="HTTP address, IP:PORT."),
    click.option("--advertise-url", default="", help="HTTP URL that others use."),
    click.option(
        "--peer-listen", default="127.0.0.1:8421", help="Address for instances."
    ),
    click.option("--seeds", default="", help="Peer addresses, separated by commas."),
    click.option("--data-dir", default="marjoramusher-data", help="Data folder."),
    click.option("--diskless", is_flag=True, help="Keep no durable state."),
    click.option(
        "--bootstrap-expect", default="1", help="Instances that form the groups."
    ),
    click.option("--operator-token-file", default="", help="File with the token."),
    click.option("--instance-token-file", default="", help="File with the token."),
    click.option(
        "--enable-fault-injection", is_flag=True, help="Allow POST /test/cut (tests)."
    ),
    click.option(
        "--drain-timeout-s", default="30", help="Limit of a graceful shutdown, s."
    ),
)


def options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add all settings to a click command as flags."""
    for option in reversed(OPTIONS):
        command = option(command)
    return command


def parse(values: Mapping[str, Any]) -> Settings:
    """Check all settings together.

    Parameters
    ----------
    values : Mapping of str to Any
        Raw values by flag name, without the leading hyphens.

    Raises
    ------
    InvalidSettingsError
        Names each bad setting with its rule.
    """
    faults: list[SettingFault] = []
    parsed: dict[str, Any] = {}
    for name, parser in PARSERS.items():
        try:
            parsed[name] = parser(values[name])
        except ValueError as error:
            faults.append(SettingFault(name, str(values[name]), str(error)))
    faults.extend(_cross_faults(parsed))
    if faults:
        raise InvalidSettingsError(faults)
    listen: Address = parsed["listen"]
    return Settings(
        instance_id=parsed["instance-id"],
        failure_domain=parsed["failure-domain"],
        region=parsed["region"],
        listen=listen,
        advertise_url=parsed["advertise-url"] or f"http://{listen}",
        peer_listen=parsed["peer-listen"],
        seeds=parsed["seeds"],
        data_dir=None if parsed["diskless"] else pathlib.Path(parsed["data-dir"]),
        bootstrap_expect=parsed["bootstrap-expect"],
        operator_token=parsed["operator-token-file"],
        instance_token=parsed["instance-token-file"],
        fault_injection=parsed["enable-fault-injection"],
        drain_timeout_s=parsed["drain-timeout-s"],
    )


def _cross_faults(parsed: Mapping[str, Any]) -> Iterator[SettingFault]:
    for name in ("listen", "peer-listen"):
        address = parsed.get(name)
        if address is None or address.is_loopback:
            continue
        for token in ("operator-token-file", "instance-token-file"):
            if token in parsed and parsed[token] is None:
                yield SettingFault(
                    name, str(address), f"needs --{token} outside loopback"
                )
    if parsed.get("listen") and parsed.get("listen") == parsed.get("peer-listen"):
        yield SettingFault(
            "peer-listen", str(parsed["peer-listen"]), "must differ from --listen"
        )
    if parsed.get("bootstrap-expect", 1) > 1 and parsed.get("seeds") == ():
        yield SettingFault("seeds", "", "must be given with --bootstrap-expect above 1")
    if parsed.get("diskless") and parsed.get("bootstrap-expect") == 1:
        yield SettingFault("diskless", "true", "a single instance needs a data folder")
