"""Answers on their way to callers."""

from collections.abc import AsyncIterator


class Answer:
    """Answer to a request.

    Attributes
    ----------
    whole : bytes or None
        The body if it is known already; `pieces` yields it in either case.
    """

    __slots__ = ("_stream", "content_type", "status", "whole")

    def __init__(
        self,
        status: int,
        content_type: str,
        whole: bytes | None = None,
        stream: AsyncIterator[bytes] | None = None,
    ) -> None:
        self.status = status
        self.content_type = content_type
        self.whole = whole
        self._stream = stream

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the body; raise a `MarjoramusherError` unless it ends completely."""
        if self.whole is not None:
            yield self.whole
        elif self._stream is not None:
            async for piece in self._stream:
                yield piece
