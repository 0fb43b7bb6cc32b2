"""Settings of the daemon, from flags and environment variables."""

import ipaddress
import pathlib
import re
import resource
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import click
import msgspec

from ..core import errors
from ..http import memory_budget

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
        """Return whether only this machine can reach the address."""
        return ipaddress.ip_address(self.host).is_loopback


class InvalidSetting(msgspec.Struct, frozen=True):
    """A setting with a value that violates its rule."""

    setting: str
    value: str
    rule: str

    def __str__(self) -> str:
        """Return the line shown to the operator."""
        return f"--{self.setting} {self.value!r}: {self.rule}"


class InvalidSettingsError(errors.MarjoramusherError):
    """One or more settings are invalid."""

    def __init__(self, invalid_settings: list[InvalidSetting]) -> None:
        super().__init__(
            errors.ErrorCode.INVALID_SETTING,
            "\n".join(str(invalid) for invalid in invalid_settings),
        )
        self.invalid_settings = invalid_settings


class Settings(msgspec.Struct, frozen=True):
    """Validated settings of one instance.

    Parameters
    ----------
    data_dir : pathlib.Path or None
        Directory for durable state; ``None`` for an instance without a disk.
    bootstrap_expect : int
        Number of instances that must be known before the consensus groups are
        formed.
    drain_timeout_s : float
        Longest time for which a graceful shutdown waits for requests in progress.
    intake : memory_budget.Limits
        Limits of what clients may hold, see `memory_budget`.
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
    intake: memory_budget.Limits = memory_budget.make_limits()


def _parse_name(value: Any) -> str:
    if not NAME.fullmatch(value):
        raise ValueError(
            "must be 1 to 63 lower-case letters, digits or hyphens, "
            "with no hyphen at either end"
        )
    return value


def _parse_address(value: Any) -> Address:
    host, _, port = str(value).rpartition(":")
    try:
        ip = ipaddress.ip_address(host.strip("[]"))
        port = int(port)
    except ValueError:
        raise ValueError("must be IP:PORT, with the port from 1 to 65535") from None
    if not 1 <= port <= 65535:
        raise ValueError("must be IP:PORT, with the port from 1 to 65535")
    return Address(str(ip), port)


def _parse_addresses(value: Any) -> tuple[Address, ...]:
    return tuple(_parse_address(part) for part in str(value).split(",") if part)


def _parse_instance_count(value: Any) -> int:
    number = int(value)
    if not 1 <= number <= 1000:
        raise ValueError("must be a number of instances from 1 to 1000")
    return number


def _parse_size(value: Any) -> int:
    number = int(value)
    if not 0 <= number <= 2**40:
        raise ValueError("must be 0 for the default, or a positive integer")
    return number


def _parse_seconds(value: Any) -> float:
    number = float(value)
    if not 0 <= number <= 3600:
        raise ValueError("must be from 0 to 3600 seconds")
    return number


def _read_token(value: Any) -> bytes | None:
    if not value:
        return None
    try:
        token = pathlib.Path(value).read_bytes().strip()
    except OSError as error:
        raise ValueError(f"must name a readable file ({error.strerror})") from None
    if not MIN_TOKEN_BYTES <= len(token) <= MAX_TOKEN_BYTES:
        raise ValueError(
            f"must name a file of {MIN_TOKEN_BYTES} to {MAX_TOKEN_BYTES} bytes"
        )
    return token


def _parse_url(value: Any) -> str:
    if value and not re.fullmatch(r"https?://[^/\s]+", value):
        raise ValueError("must be http://HOST:PORT without a path")
    return value


def _unchanged(value: Any) -> Any:
    return value


# Used if a value is not given, as they were added after the others.
INTAKE_DEFAULTS = {
    "memory-mb": "1024",
    "max-connections": "0",
    "max-head-bytes": "32768",
    "head-timeout-s": "8",
    "body-timeout-s": "10",
    "idle-timeout-s": "60",
    "response-timeout-s": "30",
}
PARSERS: dict[str, Callable[[Any], Any]] = {
    "instance-id": _parse_name,
    "failure-domain": _parse_name,
    "region": _parse_name,
    "listen": _parse_address,
    "advertise-url": _parse_url,
    "peer-listen": _parse_address,
    "seeds": _parse_addresses,
    "data-dir": _unchanged,
    "diskless": _unchanged,
    "bootstrap-expect": _parse_instance_count,
    "operator-token-file": _read_token,
    "instance-token-file": _read_token,
    "enable-fault-injection": _unchanged,
    "drain-timeout-s": _parse_seconds,
    "memory-mb": _parse_size,
    "max-connections": _parse_size,
    "max-head-bytes": _parse_size,
    "head-timeout-s": _parse_seconds,
    "body-timeout-s": _parse_seconds,
    "idle-timeout-s": _parse_seconds,
    "response-timeout-s": _parse_seconds,
}

OPTIONS: tuple[Callable[..., Any], ...] = (
    click.option("--instance-id", default="instance-1", help="Id of this instance."),
    click.option(
        "--failure-domain", default="default", help="Failure domain of this instance."
    ),
    click.option("--region", default="default", help="Region of this instance."),
    click.option("--listen", default="127.0.0.1:8420", help="HTTP address, IP:PORT."),
    click.option(
        "--advertise-url", default="", help="HTTP URL for other instances and clients."
    ),
    click.option(
        "--peer-listen",
        default="127.0.0.1:8421",
        help="Address for other instances, IP:PORT.",
    ),
    click.option("--seeds", default="", help="Peer addresses, separated by commas."),
    click.option("--data-dir", default="marjoramusher-data", help="Data directory."),
    click.option("--diskless", is_flag=True, help="Keep no durable state."),
    click.option(
        "--bootstrap-expect",
        default="1",
        help="Number of instances that form the groups.",
    ),
    click.option(
        "--operator-token-file", default="", help="File with the operators' token."
    ),
    click.option(
        "--instance-token-file", default="", help="File with the instances' token."
    ),
    click.option(
        "--enable-fault-injection", is_flag=True, help="Allow POST /test/cut (tests)."
    ),
    click.option(
        "--drain-timeout-s", default="30", help="Time limit of a graceful shutdown, s."
    ),
    click.option(
        "--memory-mb",
        default=INTAKE_DEFAULTS["memory-mb"],
        help="Memory of the machine; a quarter is for requests.",
    ),
    click.option(
        "--max-connections",
        default=INTAKE_DEFAULTS["max-connections"],
        help="Open connections; 0: half of the descriptors, or less for the memory.",
    ),
    click.option(
        "--max-head-bytes",
        default=INTAKE_DEFAULTS["max-head-bytes"],
        help="Size of the head of a request.",
    ),
    click.option(
        "--head-timeout-s",
        default=INTAKE_DEFAULTS["head-timeout-s"],
        help="Time for the head of a request, s.",
    ),
    click.option(
        "--body-timeout-s",
        default=INTAKE_DEFAULTS["body-timeout-s"],
        help="Time for a body, s; 1 s more for each 32 KiB that has arrived.",
    ),
    click.option(
        "--idle-timeout-s",
        default=INTAKE_DEFAULTS["idle-timeout-s"],
        help="How long idle connections are kept, s.",
    ),
    click.option(
        "--response-timeout-s",
        default=INTAKE_DEFAULTS["response-timeout-s"],
        help="Time to read a response, s.",
    ),
)


def options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add all settings to a click command as flags."""
    for option in reversed(OPTIONS):
        command = option(command)
    return command


def parse(values: Mapping[str, Any]) -> Settings:
    """Parse and validate all settings.

    Parameters
    ----------
    values : Mapping of str to Any
        Raw values by flag name without the leading hyphens.

    Raises
    ------
    InvalidSettingsError
        If any setting is invalid; lists each of them with its rule.
    """
    invalid_settings: list[InvalidSetting] = []
    parsed: dict[str, Any] = {}
    for name, parser in PARSERS.items():
        try:
            parsed[name] = parser(values.get(name, INTAKE_DEFAULTS.get(name)))
        except ValueError as error:
            invalid_settings.append(InvalidSetting(name, str(values[name]), str(error)))
    invalid_settings.extend(_validate_combinations(parsed))
    if invalid_settings:
        raise InvalidSettingsError(invalid_settings)
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
        intake=_intake_limits(parsed),
    )


def _intake_limits(parsed: Mapping[str, Any]) -> memory_budget.Limits:
    """Return the limits of what clients may hold.

    Raises
    ------
    BadRequestError
        If a limit is below what the process needs.
    """
    return memory_budget.make_limits(
        parsed["memory-mb"],
        resource.getrlimit(resource.RLIMIT_NOFILE)[0],
        connections=parsed["max-connections"],
        head_bytes=parsed["max-head-bytes"],
        head_timeout_s=parsed["head-timeout-s"],
        body_timeout_s=parsed["body-timeout-s"],
        idle_timeout_s=parsed["idle-timeout-s"],
        response_timeout_s=parsed["response-timeout-s"],
    )


def _validate_combinations(parsed: Mapping[str, Any]) -> Iterator[InvalidSetting]:
    for name in ("listen", "peer-listen"):
        address = parsed.get(name)
        if address is None or address.is_loopback:
            continue
        for token in ("operator-token-file", "instance-token-file"):
            if token in parsed and parsed[token] is None:
                yield InvalidSetting(
                    name,
                    str(address),
                    f"needs --{token} unless it is a loopback address",
                )
    if parsed.get("listen") and parsed.get("listen") == parsed.get("peer-listen"):
        yield InvalidSetting(
            "peer-listen", str(parsed["peer-listen"]), "must differ from --listen"
        )
    if parsed.get("bootstrap-expect", 1) > 1 and parsed.get("seeds") == ():
        yield InvalidSetting(
            "seeds", "", "must be given with --bootstrap-expect above 1"
        )
    if parsed.get("diskless") and parsed.get("bootstrap-expect") == 1:
        yield InvalidSetting(
            "diskless", "true", "a single instance needs a data directory"
        )
    try:
        _intake_limits(parsed)
    except KeyError:
        return  # one of them is reported by itself
    except errors.BadRequestError as error:
        yield InvalidSetting("memory-mb", str(parsed["memory-mb"]), error.message)
