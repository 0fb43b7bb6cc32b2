"""Event loop whose time passes only when nothing else is left to do."""

import asyncio
import datetime
import selectors
from collections.abc import Coroutine
from typing import Any

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class _Selector(selectors.SelectSelector):
    """Let time pass in place of a wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Return at once, `timeout` later."""
        if timeout is None:
            raise RuntimeError("nothing will ever happen")
        self.now_s += max(timeout, 0.0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Loop with a clock of its own; for code that does no I/O."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now_s


class LoopClock:
    """Clock that shows the time of a virtual loop."""

    __slots__ = ("_loop",)

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def monotonic(self) -> float:
        """Return the time of the loop."""
        return self._loop.time()

    def utcnow(self) -> datetime.datetime:
        """Return a fixed start plus the time of the loop."""
        return START + datetime.timedelta(seconds=self._loop.time())


def run(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
