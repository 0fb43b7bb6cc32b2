"""Event loop with a virtual clock, which advances only when no callback is ready."""

import asyncio
import datetime
import selectors
from collections.abc import Coroutine
from typing import Any

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class _Selector(selectors.SelectSelector):
    """Advance the virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Advance the time by `timeout` and return without waiting."""
        if timeout is None:
            raise RuntimeError("deadlock: no callback is scheduled")
        self.now_s += max(timeout, 0.0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time, for code that does no I/O."""

    def __init__(self) -> None:
        self._virtual_selector = _Selector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now_s


class LoopClock:
    """Clock that follows the time of a virtual loop."""

    __slots__ = ("_loop",)

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def monotonic(self) -> float:
        """Return the time of the loop."""
        return self._loop.time()

    def utcnow(self) -> datetime.datetime:
        """Return a fixed start time plus the time of the loop."""
        return START + datetime.timedelta(seconds=self._loop.time())


def run(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
