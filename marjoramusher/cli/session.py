"""Options that all commands share, and the loop that runs a call."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

import click

from ..core import errors
from . import client, exits, output

PROGRESS_AFTER_S = 1.0
PROGRESS_EVERY_S = 1.0

T = TypeVar("T")


class Session:
    """Global options of one invocation."""

    __slots__ = ("_operator", "_servers", "_timeout_s", "_token", "json")

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
        self.json = as_json

    @property
    def servers(self) -> tuple[str, ...]:
        """Return the base URLs of the servers."""
        return self._servers

    def connect(self, server: str | None = None) -> client.Client:
        """Return a client of all servers, or of one."""
        return client.Client(
            self._servers if server is None else [server],
            self._token,
            self._operator,
            self._timeout_s,
            lambda line: click.echo(f"trying again: {line}", err=True),
        )

    def run(
        self,
        what: str,
        call: Callable[[client.Client], Awaitable[T]],
        server: str | None = None,
    ) -> T:
        """Run a call to its end and show progress if it takes long.

        Parameters
        ----------
        what : str
            Description for the progress line.
        server : str or None
            The only server to ask; ``None`` for all in turn.
        """

        async def connected() -> T:
            async with self.connect(server) as opened:
                return await call(opened)

        return asyncio.run(_with_progress(what, connected()))

    def show(self, value: Any, as_table: Callable[[Any], None]) -> None:
        """Print a value in the chosen format."""
        if self.json:
            output.show_json(value)
        else:
            as_table(value)


class CodedGroup(click.Group):
    """Group of commands that turns coded errors into exit codes."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command."""
        try:
            return super().invoke(ctx)
        except errors.MarjoramusherError as error:
            shown_as_json = isinstance(ctx.obj, Session) and ctx.obj.json
            output.show_error(error, shown_as_json)
            ctx.exit(exits.of(error))


async def _with_progress(what: str, call: Coroutine[Any, Any, T]) -> T:
    task = asyncio.ensure_future(call)
    started_at = time.monotonic()
    limit_s = PROGRESS_AFTER_S
    try:
        while not (await asyncio.wait({task}, timeout=limit_s))[0]:
            elapsed_s = time.monotonic() - started_at
            click.echo(f"{what}: {elapsed_s:.0f} s", err=True)
            limit_s = PROGRESS_EVERY_S
        return task.result()
    finally:
        task.cancel()
