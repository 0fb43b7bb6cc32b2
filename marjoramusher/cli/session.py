"""Global options, execution of calls and reporting of errors."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

import click

from ..core import errors
from . import client, exits, output

PROGRESS_DELAY_S = 1.0
PROGRESS_INTERVAL_S = 1.0

T = TypeVar("T")


class Session:
    """Global options of one invocation."""

    __slots__ = ("_operator", "_servers", "_timeout_s", "_token", "is_json")

    def __init__(
        self,
        servers: tuple[str, ...],
        token: str | None,
        operator: str,
        timeout_s: float,
        as_json: bool,
    ) -> None:
        self._servers = servers
        self._token = token
        self._operator = operator
        self._timeout_s = timeout_s
        self.is_json = as_json

    @property
    def servers(self) -> tuple[str, ...]:
        """Return the base URLs of the servers."""
        return self._servers

    @property
    def timeout_s(self) -> float:
        """Return the longest time for one call, including all attempts."""
        return self._timeout_s

    def connect(self, server: str | None = None) -> client.Client:
        """Return a client for all servers, or for one."""
        return client.Client(
            self._servers if server is None else [server],
            self._token,
            self._operator,
            self._timeout_s,
            lambda line: click.echo(f"trying again: {line}", err=True),
        )

    def run(
        self,
        description: str,
        call: Callable[[client.Client], Awaitable[T]],
        server: str | None = None,
    ) -> T:
        """Run a call and show its progress if it takes long.

        Parameters
        ----------
        description : str
            Text of the progress line.
        server : str or None
            The only server to call; ``None`` to try all servers in turn.
        """

        async def run_connected() -> T:
            async with self.connect(server) as api:
                return await call(api)

        return self.wait(description, run_connected())

    def wait(self, description: str, call: Coroutine[Any, Any, T]) -> T:
        """Wait for the result of a call, and show its progress if it takes long."""
        return asyncio.run(_with_progress(description, call))

    def show(self, value: Any, print_table: Callable[[Any], None]) -> None:
        """Print a value in the selected output format."""
        if self.is_json:
            output.show_json(value)
        else:
            print_table(value)


class ErrorReportingGroup(click.Group):
    """Command group that reports errors and sets the exit code for their error code."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command."""
        try:
            return super().invoke(ctx)
        except errors.MarjoramusherError as error:
            as_json = isinstance(ctx.obj, Session) and ctx.obj.is_json
            output.show_error(error, as_json)
            ctx.exit(exits.exit_code(error))


async def _with_progress(description: str, call: Coroutine[Any, Any, T]) -> T:
    task = asyncio.ensure_future(call)
    started_at = time.monotonic()
    wait_s = PROGRESS_DELAY_S
    try:
        while not (await asyncio.wait({task}, timeout=wait_s))[0]:
            elapsed_s = time.monotonic() - started_at
            click.echo(f"{description}: {elapsed_s:.0f} s", err=True)
            wait_s = PROGRESS_INTERVAL_S
        return task.result()
    finally:
        task.cancel()
