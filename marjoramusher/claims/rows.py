"""Hash table of packed rows, which are identified by their first bytes."""

import array

DIGEST_BYTES = 16
_EMPTY = 2**32 - 1
_MIN_SLOTS = 256


class RowTable:
    """Rows of one size in one buffer, with a hash index over their digests.

    A dict takes about 100 bytes per digest, the index at most 16. The order of the
    rows depends only on the calls and is part of snapshots. The positions in the index
    depend on the hash seed of the process, so that callers can't choose keys that
    collide; they have no influence on results.

    Parameters
    ----------
    row_bytes : int
        Size of a row; its first `DIGEST_BYTES` identify it.
    data : bytes, optional
        Initial rows.
    """

    __slots__ = ("_data", "_index", "_mask", "_row_bytes")

    def __init__(self, row_bytes: int, data: bytes | bytearray = b"") -> None:
        if len(data) % row_bytes:
            raise ValueError("the data is not a whole number of rows")
        self._row_bytes = row_bytes
        self._data = bytearray(data)
        self._reindex()

    def __len__(self) -> int:
        return len(self._data) // self._row_bytes

    def data(self) -> bytes:
        """Return all rows in order."""
        return bytes(self._data)

    def read(self, start: int) -> bytes:
        """Return the row at a byte offset."""
        return bytes(self._data[start : start + self._row_bytes])

    def get(self, digest: bytes) -> bytes | None:
        """Return the row of a digest, or ``None``."""
        row_number = self._index[self._slot(digest)]
        return None if row_number == _EMPTY else self.read(row_number * self._row_bytes)

    def put(self, row: bytes) -> None:
        """Add a row or replace the one with the same digest."""
        slot = self._slot(row[:DIGEST_BYTES])
        row_number = self._index[slot]
        if row_number != _EMPTY:
            start = row_number * self._row_bytes
            self._data[start : start + self._row_bytes] = row
            return
        self._index[slot] = len(self)
        self._data += row
        if 2 * len(self) > len(self._index):
            self._reindex()

    def remove(self, digest: bytes) -> None:
        """Remove a row; the last row moves to its position."""
        slot = self._slot(digest)
        row_number = self._index[slot]
        if row_number == _EMPTY:
            return
        last = len(self) - 1
        if row_number != last:
            moved_row = self.read(last * self._row_bytes)
            self._index[self._slot(moved_row[:DIGEST_BYTES])] = row_number
            start = row_number * self._row_bytes
            self._data[start : start + self._row_bytes] = moved_row
        self._close_gap(slot)
        del self._data[last * self._row_bytes :]

    def _close_gap(self, gap: int) -> None:
        """Empty a slot and shift later entries back, to keep probe sequences intact."""
        index, mask = self._index, self._mask
        slot = gap
        while True:
            slot = (slot + 1) & mask
            row_number = index[slot]
            if row_number == _EMPTY:
                break
            home_slot = hash(self._digest(row_number)) & mask
            # An entry must not move to a slot before the one where its probe starts.
            if (slot - home_slot) & mask >= (slot - gap) & mask:
                index[gap] = row_number
                gap = slot
        index[gap] = _EMPTY

    def _digest(self, row_number: int) -> bytes:
        start = row_number * self._row_bytes
        return bytes(self._data[start : start + DIGEST_BYTES])

    def _slot(self, digest: bytes) -> int:
        """Return the slot of a digest, or the empty slot where it belongs."""
        index, mask, data, size = self._index, self._mask, self._data, self._row_bytes
        slot = hash(digest) & mask
        while (row_number := index[slot]) != _EMPTY:
            start = row_number * size
            if data[start : start + DIGEST_BYTES] == digest:
                break
            slot = (slot + 1) & mask
        return slot

    def _reindex(self) -> None:
        slot_count = _MIN_SLOTS
        while slot_count < 2 * len(self) + 2:
            slot_count *= 2
        self._mask = slot_count - 1
        self._index = array.array("I", [_EMPTY]) * slot_count
        index, mask = self._index, self._mask
        for row_number in range(len(self)):
            slot = hash(self._digest(row_number)) & mask
            while index[slot] != _EMPTY:
                slot = (slot + 1) & mask
            index[slot] = row_number
