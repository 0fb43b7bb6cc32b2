"""Background loops that survive unexpected errors."""

import asyncio
from collections.abc import Awaitable, Callable

from . import log

# Limits the log lines of a step that fails each time.
ERROR_PAUSE_S = 0.5


async def repeat(step: Callable[[], Awaitable[None]], where: str) -> None:
    """Run a step again and again until cancelled.

    An unexpected error in one step is logged, and does not end the loop: without it,
    the process would go on in part only.

    Parameters
    ----------
    step : callable
        One iteration, which waits for the next one to be due.
    where : str
        Component that the step belongs to, for the log.
    """
    while True:
        try:
            await step()
        except Exception as failure:
            log.unexpected_error(where, failure)
            await asyncio.sleep(ERROR_PAUSE_S)
