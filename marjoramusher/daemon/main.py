"""Entry point of ``marjoramusherd``."""

import asyncio
import gc
import signal
import sys
from typing import Any

import click

from ..core import errors
from ..telemetry import log
from . import instance, settings, system

EXIT_BAD_SETTINGS = 2
EXIT_START_FAILED = 1
EXIT_DRAIN_TIMEOUT = 3


@click.command(
    context_settings={"auto_envvar_prefix": settings.ENVIRONMENT_PREFIX},
    epilog="Every flag can be set by an environment variable, for example "
    "MARJORAMUSHER_DATA_DIR for --data-dir. Without flags the daemon runs as a "
    "single instance on loopback. Example: marjoramusherd --data-dir data",
)
@settings.options
def main(**values: Any) -> None:
    """Run one instance; SIGTERM and SIGINT drain and stop it."""
    try:
        parsed = settings.parse(
            {name.replace("_", "-"): value for name, value in values.items()}
        )
    except settings.InvalidSettingsError as error:
        for invalid in error.invalid_settings:
            click.echo(f"marjoramusherd: {invalid}", err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    log.to_stdout()
    sys.exit(asyncio.run(_serve(parsed)))


async def _serve(parsed: settings.Settings) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    daemon = instance.make_instance(parsed, system.SystemClock())
    try:
        await daemon.start()
    except (errors.MarjoramusherError, OSError) as error:
        click.echo(f"marjoramusherd: cannot start: {error}", err=True)
        return EXIT_START_FAILED
    # Objects loaded so far live as long as the process, so exempt them from collection.
    gc.collect()
    gc.freeze()
    await stop.wait()
    drained = await daemon.drain()
    await daemon.stop()
    return 0 if drained else EXIT_DRAIN_TIMEOUT


if __name__ == "__main__":
    main()
