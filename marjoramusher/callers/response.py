"""Responses to callers."""

import contextlib
from collections.abc import AsyncGenerator, Callable


class Response:
    """Response to a request.

    Attributes
    ----------
    body : bytes or None
        The body if it has been read completely; otherwise it is streamed. `chunks`
        yields it in either case.
    """

    __slots__ = ("_on_close", "_stream", "body", "content_type", "status")

    def __init__(
        self,
        status: int,
        content_type: str,
        body: bytes | None = None,
        stream: AsyncGenerator[bytes, None] | None = None,
        on_close: Callable[[], None] | None = None,
    ) -> None:
        self.status = status
        self.content_type = content_type
        self.body = body
        self._stream = stream
        self._on_close = on_close

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the body; raise a `MarjoramusherError` if it is incomplete."""
        if self.body is not None:
            yield self.body
        elif self._stream is not None:
            async with contextlib.aclosing(self._stream) as stream:
                async for chunk in stream:
                    yield chunk

    def close(self) -> None:
        """Discard the rest of the body, also if none of it has been read."""
        if self._on_close is not None:
            self._on_close()
