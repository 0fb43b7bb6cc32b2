"""Answers on their way to callers."""

import contextlib
from collections.abc import AsyncGenerator, Callable


class Answer:
    """Answer to a request.

    Attributes
    ----------
    whole : bytes or None
        The body if it is known already; `pieces` yields it in either case.
    """

    __slots__ = ("_on_close", "_stream", "content_type", "status", "whole")

    def __init__(
        self,
        status: int,
        content_type: str,
        whole: bytes | None = None,
        stream: AsyncGenerator[bytes, None] | None = None,
        on_close: Callable[[], None] | None = None,
    ) -> None:
        self.status = status
        self.content_type = content_type
        self.whole = whole
        self._stream = stream
        self._on_close = on_close

    async def pieces(self) -> AsyncGenerator[bytes, None]:
        """Yield the body; raise a `MarjoramusherError` unless it ends completely."""
        if self.whole is not None:
            yield self.whole
        elif self._stream is not None:
            async with contextlib.aclosing(self._stream) as stream:
                async for piece in stream:
                    yield piece

    def close(self) -> None:
        """Give up the rest; also needed for a body that nobody began to read."""
        if self._on_close is not None:
            self._on_close()
