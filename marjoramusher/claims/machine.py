"""Replicated claims of idempotency keys with their recorded answers.

An instance has about 12 MB for this state, so a key takes one packed row, and the
rows, the open claims and the bodies are bounded each.
"""

import hashlib
import math
import struct
import sys

import msgspec

from ..core import codec, errors
from . import command, rows

RETENTION_S = 24 * 3600.0
MAX_ANSWER_BYTES = 64 * 1024
MAX_ANSWERS_BYTES = 8 * 1024 * 1024
MAX_KEYS = 65_536
MAX_OPEN = 4096  # about 0.25 KB each; the slots of a domain are some hundreds
BODY_OVERHEAD_BYTES = 160  # objects that hold a body, so that empty ones count too
# Searching all keys takes some 0.1 s; a full machine would do it for each claim.
FULL_SCAN_S = 10.0
SNAPSHOT_VERSION = 2

State = command.State

_ROW = struct.Struct("<16s8s8sIB")
"""Key digest, fingerprint, owner, time of the claim in whole seconds, and state.

The owner is the number of the body of an answered key, and the digest of the holder
of an unknown one, which may still record its answer.
"""
_KEPT = struct.Struct("<iI")
"""Status of an answer and length of its content type, which precede its body.

The codec's output is not used for what is kept, since its buffer stays up to half
larger than the bytes.
"""
_OPEN, _UNKNOWN, _ANSWERED, _NOT_KEPT = range(4)
_NO_OWNER = bytes(8)
_MAX_AT = 2**32 - 1
_NEVER = _MAX_AT + 1


class _Row(msgspec.Struct):
    digest: bytes
    fingerprint: bytes
    owner: bytes
    at: int
    state: int


class _Version(msgspec.Struct, array_like=True):
    """Read the first field of a snapshot of any version."""

    version: int


class _Snapshot(msgspec.Struct, array_like=True):
    version: int
    recovered_at: float | None
    rows: bytes
    holders: list[tuple[bytes, command.Holder]]
    bodies: list[tuple[int, bytes]]
    next_body: int
    oldest_at: int


class ClaimsMachine:
    """Keep which keys are claimed, and what was answered.

    Parameters
    ----------
    max_answers_bytes : int
        Bound on the answers kept; the oldest are dropped first and their keys stay.
    max_keys : int
        Bound on the keys. A new one is refused when no other is past its retention,
        since a key that is forgotten early could run twice.
    max_open : int
        Bound on the claims without an outcome.
    """

    def __init__(
        self,
        max_answers_bytes: int = MAX_ANSWERS_BYTES,
        max_keys: int = MAX_KEYS,
        max_open: int = MAX_OPEN,
    ) -> None:
        self._max_answers_bytes = max_answers_bytes
        self._max_keys = max_keys
        self._max_open = max_open
        self._recovered_at: float | None = None
        self._rows = rows.Rows(_ROW.size)
        self._holders: dict[bytes, command.Holder] = {}  # of open claims, by digest
        self._bodies: dict[int, bytes] = {}
        self._next_body = 0
        self._oldest_body = 0
        self._answers_bytes = 0
        # No closed claim is older. It decides when a full machine forgets keys, so it
        # is part of the snapshot.
        self._oldest_at = _NEVER

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def answers_bytes(self) -> int:
        """Return the size of the answers kept, with the objects that hold them."""
        return self._answers_bytes

    def state(self, account: str, key: str) -> command.Result:
        """Return what is known of a key, without a claim."""
        found = self._find(_digest(account, key))
        return command.Result(State.MISSING) if found is None else self._result(found)

    def holders(self) -> set[command.Holder]:
        """Return the processes that hold open claims."""
        return set(self._holders.values())

    def apply(self, index: int, data: bytes) -> bytes:
        """Apply a batch of commands and return their results."""
        del index
        commands = codec.unpack(data, list[command.Command])
        return codec.pack([self._apply(item) for item in commands])

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return codec.pack(
            _Snapshot(
                SNAPSHOT_VERSION,
                self._recovered_at,
                self._rows.data(),
                list(self._holders.items()),
                list(self._bodies.items()),
                self._next_body,
                self._oldest_at,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by one that `snapshot` gave.

        Raises
        ------
        MarjoramusherError
            With code ``store_corrupt`` if the snapshot has another version.
        """
        if codec.unpack(data, _Version).version != SNAPSHOT_VERSION:
            raise errors.MarjoramusherError(
                errors.ErrorCode.STORE_CORRUPT,
                f"the claims snapshot does not have version {SNAPSHOT_VERSION}",
            )
        state = codec.unpack(data, _Snapshot)
        self._rows = rows.Rows(_ROW.size, state.rows)
        self._recovered_at = state.recovered_at
        self._holders = {digest: _interned(held) for digest, held in state.holders}
        self._bodies = dict(state.bodies)
        self._next_body = state.next_body
        self._oldest_body = min(self._bodies, default=state.next_body)
        self._answers_bytes = sum(map(_cost, self._bodies.values()))
        self._oldest_at = state.oldest_at

    def _apply(self, item: command.Command) -> command.Result:
        match item:
            case command.Claim():
                return self._claim(item)
            case command.RecordAnswer():
                return self._record(item)
            case command.RecordUnknownOutcome():
                return self._unknown(item)
            case command.Release():
                return self._release(item)
            case command.Abandon():
                self._abandon(item)
            case command.Expire():
                self._expire(item.at)
            case command.Recover():
                self._recover(item.at)
        return command.Result(State.APPLIED)

    def _find(self, digest: bytes) -> _Row | None:
        data = self._rows.get(digest)
        return None if data is None else _Row(*_ROW.unpack(data))

    def _put(self, row: _Row) -> None:
        self._rows.put(
            _ROW.pack(row.digest, row.fingerprint, row.owner, row.at, row.state)
        )
        if row.state != _OPEN:
            self._oldest_at = min(self._oldest_at, row.at)

    def _claim(self, item: command.Claim) -> command.Result:
        digest = _digest(item.account, item.key)
        row = self._find(digest)
        if row is not None:
            if row.fingerprint != _short(item.fingerprint):
                return command.Result(State.REUSED)
            held = self._holders.get(digest)
            if (
                held is not None
                and held.instance == item.holder.instance
                and held.process != item.holder.process
            ):
                # The instance runs one process at a time, so the holder has ended.
                self._lose(row)
            return self._result(row)
        lost = self._may_be_lost(item)
        if not self._has_room(item.at, not lost):
            # The answer on a lost key stays true without a row.
            return command.Result(State.UNKNOWN if lost else State.FULL)
        # A lost key is kept as unknown, so that later resends get the same answer.
        # Rounded up, since a key is never forgotten early.
        row = _Row(
            digest,
            _short(item.fingerprint),
            _NO_OWNER,
            min(max(math.ceil(item.at), 0), _MAX_AT),
            _UNKNOWN if lost else _OPEN,
        )
        if lost:
            row.owner = _holder_digest(item.holder)
        else:
            self._holders[digest] = _interned(item.holder)
        self._put(row)
        return command.Result(State.UNKNOWN if lost else State.GRANTED)

    def _has_room(self, at: float, opens: bool) -> bool:
        if opens and len(self._holders) >= self._max_open:
            return False
        full = len(self._rows) >= self._max_keys
        if full and self._oldest_at < at - RETENTION_S - FULL_SCAN_S:
            self._expire(at)
        return len(self._rows) < self._max_keys

    def _may_be_lost(self, item: command.Claim) -> bool:
        """Tell whether an earlier claim of a missing key may have been forgotten."""
        if item.issued_at is not None and item.issued_at < item.at - RETENTION_S:
            return True
        if self._recovered_at is None:
            return False
        if item.issued_at is None:
            return item.at < self._recovered_at + RETENTION_S
        return item.issued_at < self._recovered_at

    def _held(
        self, account: str, key: str, holder: command.Holder
    ) -> tuple[_Row | None, command.Result]:
        """Return the row of a claim without an outcome, or why there is none."""
        digest = _digest(account, key)
        row = self._find(digest)
        if row is not None:
            if row.state == _OPEN and self._holders[digest] == holder:
                return row, self._result(row)
            if row.state == _UNKNOWN and row.owner == _holder_digest(holder):
                return row, self._result(row)
            if row.state in (_ANSWERED, _NOT_KEPT):
                # Who held the key is no longer known, and nothing changes for it.
                return None, self._result(row)
        return None, command.Result(State.MISSING)

    def _record(self, item: command.RecordAnswer) -> command.Result:
        row, refused = self._held(item.account, item.key, item.holder)
        if row is None:
            return refused
        self._holders.pop(row.digest, None)
        row.state, row.owner = _NOT_KEPT, _NO_OWNER
        if item.kept and len(item.body) <= MAX_ANSWER_BYTES:
            row.state = _ANSWERED
            row.owner = self._next_body.to_bytes(8, "little")
            kept = _packed(item)
            self._bodies[self._next_body] = kept
            self._next_body += 1
            self._answers_bytes += _cost(kept)
        self._put(row)
        while self._answers_bytes > self._max_answers_bytes:
            self._drop(self._oldest_body)
            self._oldest_body += 1
        return command.Result(State.APPLIED)

    def _drop(self, number: int) -> None:
        body = self._bodies.pop(number, None)
        if body is not None:
            self._answers_bytes -= _cost(body)

    def _lose(self, row: _Row) -> None:
        """Turn an open claim into an unknown outcome."""
        holder = self._holders.pop(row.digest, None)
        if holder is not None:
            row.state, row.owner = _UNKNOWN, _holder_digest(holder)
            self._put(row)

    def _unknown(self, item: command.RecordUnknownOutcome) -> command.Result:
        row, refused = self._held(item.account, item.key, item.holder)
        if row is None:
            return refused
        self._lose(row)
        return command.Result(State.APPLIED)

    def _release(self, item: command.Release) -> command.Result:
        row, refused = self._held(item.account, item.key, item.holder)
        if row is None:
            return refused
        self._holders.pop(row.digest, None)
        self._rows.remove(row.digest)
        return command.Result(State.APPLIED)

    def _abandon(self, item: command.Abandon) -> None:
        for digest, holder in list(self._holders.items()):
            if holder.instance == item.instance and item.process in (
                "",
                holder.process,
            ):
                self._lose(self._find(digest))

    def _expire(self, at: float) -> None:
        # Proposers' clocks differ, so rows are not in the order of their times.
        before = at - RETENTION_S
        if self._oldest_at >= before:
            return
        kept = bytearray()
        self._oldest_at = _NEVER
        for start in range(0, len(self._rows) * _ROW.size, _ROW.size):
            data = self._rows.read(start)
            _, _, owner, claimed_at, state = _ROW.unpack(data)
            if state != _OPEN and claimed_at < before:
                if state == _ANSWERED:
                    self._drop(int.from_bytes(owner, "little"))
                continue
            kept += data
            if state != _OPEN:
                self._oldest_at = min(self._oldest_at, claimed_at)
        if len(kept) < len(self._rows) * _ROW.size:
            self._rows = rows.Rows(_ROW.size, kept)

    def _recover(self, at: float) -> None:
        self._recovered_at = at
        for digest in list(self._holders):
            self._lose(self._find(digest))

    def _result(self, row: _Row) -> command.Result:
        if row.state == _OPEN:
            return command.Result(State.OPEN, holder=self._holders[row.digest])
        if row.state == _UNKNOWN:
            return command.Result(State.UNKNOWN)
        if row.state == _NOT_KEPT:
            return command.Result(State.NOT_KEPT)
        body = self._bodies.get(int.from_bytes(row.owner, "little"))
        if body is None:
            return command.Result(State.EXPIRED)
        status, length = _KEPT.unpack_from(body)
        end = _KEPT.size + length
        content_type = body[_KEPT.size : end].decode()
        return command.Result(State.ANSWERED, status, content_type, body[end:])


def _digest(account: str, key: str) -> bytes:
    name = account.encode()
    data = len(name).to_bytes(4, "little") + name + key.encode()
    return hashlib.blake2b(data, digest_size=16).digest()


def _short(fingerprint: bytes) -> bytes:
    return fingerprint[:8].ljust(8, b"\0")


def _holder_digest(holder: command.Holder) -> bytes:
    return hashlib.blake2b(codec.pack(holder), digest_size=8).digest()


def _interned(holder: command.Holder) -> command.Holder:
    """Return a holder that shares its strings with those of the same process."""
    return command.Holder(
        sys.intern(holder.instance), sys.intern(holder.process), holder.serial
    )


def _packed(item: command.RecordAnswer) -> bytes:
    content_type = item.content_type.encode()
    head = _KEPT.pack(item.status, len(content_type))
    return b"".join((head, content_type, item.body))


def _cost(body: bytes) -> int:
    return len(body) + BODY_OVERHEAD_BYTES
