"""Tests that frames survive any chunking and that truncated frames are detected."""

import pytest

from marjoramusher.core import errors
from marjoramusher.daemon import frames

FRAMES = [b"", b"a", b"x" * 300]


async def _stream(chunks):
    for chunk in chunks:
        yield chunk


@pytest.mark.parametrize("size", [1, 2, 3, 5, 64, 1000])
async def test_frames_survive_every_split(size):
    data = b"".join([part async for part in frames.encode(_stream(FRAMES))])
    chunks = [data[i : i + size] for i in range(0, len(data), size)]
    assert [frame async for frame in frames.decode(_stream(chunks))] == FRAMES


@pytest.mark.parametrize("data", [b"\0", b"\0\0\0\2x", b"\xff\xff\xff\xff"])
async def test_cut_or_oversized_frame_is_an_error(data):
    with pytest.raises(errors.MarjoramusherError):
        [frame async for frame in frames.decode(_stream([data]))]
