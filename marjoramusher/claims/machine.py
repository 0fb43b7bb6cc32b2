"""Replicated state machine for idempotency keys and their recorded answers.

An instance has about 12 MB for this state. Each key therefore takes one packed row,
and the numbers of rows and of open claims and the total size of the answers are
bounded.
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
MAX_TOTAL_ANSWER_BYTES = 8 * 1024 * 1024
MAX_KEYS = 65_536
# About 0.25 KB per open claim; a failure domain has some hundreds of slots.
MAX_OPEN_CLAIMS = 4096
# Memory of the objects that hold an answer. It counts towards the total size, which
# therefore bounds the number of empty answers as well.
ANSWER_OVERHEAD_BYTES = 160
# A scan of all keys takes about 0.1 s, and a full machine would do it for each claim.
FULL_SCAN_INTERVAL_S = 10.0
SNAPSHOT_VERSION = 2

State = command.State

_ROW = struct.Struct("<16s8s8sIB")
"""Key digest, fingerprint, owner, time of the claim in whole seconds, and state.

The owner is the number of the answer for an answered key. For a key with an unknown
outcome, it is the digest of the holder, which may still record the answer.
"""
_ANSWER_HEADER = struct.Struct("<iI")
"""Status of an answer and length of its content type, which precede its body.

The codec is not used for stored answers, since the buffers that it returns stay up to
half larger than their contents.
"""
_OPEN, _UNKNOWN, _ANSWERED, _NOT_KEPT = range(4)
_NO_OWNER = bytes(8)
_MAX_TIME_S = 2**32 - 1
_NEVER = _MAX_TIME_S + 1  # later than any time in a row


class _Row(msgspec.Struct):
    digest: bytes
    fingerprint: bytes
    owner: bytes
    at: int
    state: int


class _Version(msgspec.Struct, array_like=True):
    """First field of a snapshot of any version."""

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
    """State machine that grants claims on idempotency keys and records answers.

    Parameters
    ----------
    max_total_answer_bytes : int
        Bound on the size of all answers. The oldest answers are dropped first; their
        keys stay.
    max_keys : int
        Bound on the number of keys. A new key is refused if no other is past its
        retention, since the request of a key that is dropped early could run twice.
    max_open_claims : int
        Bound on the number of claims without an outcome.
    """

    def __init__(
        self,
        max_total_answer_bytes: int = MAX_TOTAL_ANSWER_BYTES,
        max_keys: int = MAX_KEYS,
        max_open_claims: int = MAX_OPEN_CLAIMS,
    ) -> None:
        self._max_total_answer_bytes = max_total_answer_bytes
        self._max_keys = max_keys
        self._max_open_claims = max_open_claims
        self._recovered_at: float | None = None
        self._rows = rows.RowTable(_ROW.size)
        # Holders of the open claims by key digest.
        self._holders: dict[bytes, command.Holder] = {}
        # Packed answers by number.
        self._answers: dict[int, bytes] = {}
        self._next_answer_number = 0
        self._oldest_answer_number = 0
        self._total_answer_bytes = 0
        # Lower bound on the times of closed claims. It is part of the snapshot, since
        # it determines when a full machine drops keys.
        self._oldest_at = _NEVER

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def total_answer_bytes(self) -> int:
        """Return the size of all answers, including the objects that hold them."""
        return self._total_answer_bytes

    def lookup(self, account: str, key: str) -> command.Result:
        """Return the state of a key without claiming it."""
        row = self._find(_digest(account, key))
        return command.Result(State.MISSING) if row is None else self._result(row)

    def holders(self) -> set[command.Holder]:
        """Return the holders of all open claims."""
        return set(self._holders.values())

    def apply(self, index: int, data: bytes) -> bytes:
        """Apply a batch of commands and return their results."""
        del index
        commands = codec.unpack(data, list[command.Command])
        return codec.pack([self._apply(item) for item in commands])

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return codec.pack(
            _Snapshot(
                SNAPSHOT_VERSION,
                self._recovered_at,
                self._rows.data(),
                list(self._holders.items()),
                list(self._answers.items()),
                self._next_answer_number,
                self._oldest_at,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot.

        Raises
        ------
        MarjoramusherError
            With code ``store_corrupt`` if the snapshot has another version.
        """
        if codec.unpack(data, _Version).version != SNAPSHOT_VERSION:
            raise errors.MarjoramusherError(
                errors.ErrorCode.STORE_CORRUPT,
                "unsupported version of the claims snapshot, expected "
                f"{SNAPSHOT_VERSION}",
            )
        state = codec.unpack(data, _Snapshot)
        self._rows = rows.RowTable(_ROW.size, state.rows)
        self._recovered_at = state.recovered_at
        self._holders = {
            digest: _intern_holder(holder) for digest, holder in state.holders
        }
        self._answers = dict(state.bodies)
        self._next_answer_number = state.next_body
        self._oldest_answer_number = min(self._answers, default=state.next_body)
        self._total_answer_bytes = sum(map(_answer_cost_bytes, self._answers.values()))
        self._oldest_at = state.oldest_at

    def _apply(self, item: command.Command) -> command.Result:
        match item:
            case command.Claim():
                return self._claim(item)
            case command.RecordAnswer():
                return self._record_answer(item)
            case command.RecordUnknownOutcome():
                return self._record_unknown(item)
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
            if row.fingerprint != _short_fingerprint(item.fingerprint):
                return command.Result(State.REUSED)
            holder = self._holders.get(digest)
            if (
                holder is not None
                and holder.instance == item.holder.instance
                and holder.process != item.holder.process
            ):
                # An instance runs one process at a time, so the holder has ended.
                self._mark_unknown(row)
            return self._result(row)
        is_unknown = self._may_have_been_dropped(item)
        if not self._has_capacity(item.at, not is_unknown):
            # An unknown outcome can be reported without a row.
            return command.Result(State.UNKNOWN if is_unknown else State.FULL)
        # A key whose earlier claim may have been dropped is stored as unknown, so that
        # later resends get the same result. The time is rounded up, since a key must
        # not be dropped early.
        row = _Row(
            digest,
            _short_fingerprint(item.fingerprint),
            _NO_OWNER,
            min(max(math.ceil(item.at), 0), _MAX_TIME_S),
            _UNKNOWN if is_unknown else _OPEN,
        )
        if is_unknown:
            row.owner = _holder_digest(item.holder)
        else:
            self._holders[digest] = _intern_holder(item.holder)
        self._put(row)
        return command.Result(State.UNKNOWN if is_unknown else State.GRANTED)

    def _has_capacity(self, at: float, needs_open_slot: bool) -> bool:
        if needs_open_slot and len(self._holders) >= self._max_open_claims:
            return False
        is_full = len(self._rows) >= self._max_keys
        if is_full and self._oldest_at < at - RETENTION_S - FULL_SCAN_INTERVAL_S:
            self._expire(at)
        return len(self._rows) < self._max_keys

    def _may_have_been_dropped(self, item: command.Claim) -> bool:
        """Tell whether an earlier claim of a missing key may have been dropped."""
        if item.issued_at is not None and item.issued_at < item.at - RETENTION_S:
            return True
        if self._recovered_at is None:
            return False
        if item.issued_at is None:
            return item.at < self._recovered_at + RETENTION_S
        return item.issued_at < self._recovered_at

    def _find_owned(
        self, account: str, key: str, holder: command.Holder
    ) -> tuple[_Row | None, command.Result]:
        """Return the row of a holder's claim, or the result if it has no such claim.

        The outcome of the claim is still open, or unknown.
        """
        digest = _digest(account, key)
        row = self._find(digest)
        if row is not None:
            if row.state == _OPEN and self._holders[digest] == holder:
                return row, self._result(row)
            if row.state == _UNKNOWN and row.owner == _holder_digest(holder):
                return row, self._result(row)
            if row.state in (_ANSWERED, _NOT_KEPT):
                # The holder is no longer stored, and the recorded outcome stays.
                return None, self._result(row)
        return None, command.Result(State.MISSING)

    def _record_answer(self, item: command.RecordAnswer) -> command.Result:
        row, rejection = self._find_owned(item.account, item.key, item.holder)
        if row is None:
            return rejection
        self._holders.pop(row.digest, None)
        row.state, row.owner = _NOT_KEPT, _NO_OWNER
        if item.has_body and len(item.body) <= MAX_ANSWER_BYTES:
            row.state = _ANSWERED
            row.owner = self._next_answer_number.to_bytes(8, "little")
            answer = _pack_answer(item)
            self._answers[self._next_answer_number] = answer
            self._next_answer_number += 1
            self._total_answer_bytes += _answer_cost_bytes(answer)
        self._put(row)
        while self._total_answer_bytes > self._max_total_answer_bytes:
            self._drop_answer(self._oldest_answer_number)
            self._oldest_answer_number += 1
        return command.Result(State.APPLIED)

    def _drop_answer(self, number: int) -> None:
        answer = self._answers.pop(number, None)
        if answer is not None:
            self._total_answer_bytes -= _answer_cost_bytes(answer)

    def _mark_unknown(self, row: _Row) -> None:
        """Give an open claim an unknown outcome."""
        holder = self._holders.pop(row.digest, None)
        if holder is not None:
            row.state, row.owner = _UNKNOWN, _holder_digest(holder)
            self._put(row)

    def _record_unknown(self, item: command.RecordUnknownOutcome) -> command.Result:
        row, rejection = self._find_owned(item.account, item.key, item.holder)
        if row is None:
            return rejection
        self._mark_unknown(row)
        return command.Result(State.APPLIED)

    def _release(self, item: command.Release) -> command.Result:
        row, rejection = self._find_owned(item.account, item.key, item.holder)
        if row is None:
            return rejection
        self._holders.pop(row.digest, None)
        self._rows.remove(row.digest)
        return command.Result(State.APPLIED)

    def _abandon(self, item: command.Abandon) -> None:
        for digest, holder in list(self._holders.items()):
            if holder.instance == item.instance and item.process in (
                "",
                holder.process,
            ):
                self._mark_unknown(self._find(digest))

    def _expire(self, at: float) -> None:
        # Rows are not ordered by time, since the proposers' clocks differ.
        expired_before = at - RETENTION_S
        if self._oldest_at >= expired_before:
            return
        remaining = bytearray()
        self._oldest_at = _NEVER
        for start in range(0, len(self._rows) * _ROW.size, _ROW.size):
            data = self._rows.read(start)
            _, _, owner, claimed_at, state = _ROW.unpack(data)
            if state != _OPEN and claimed_at < expired_before:
                if state == _ANSWERED:
                    self._drop_answer(int.from_bytes(owner, "little"))
                continue
            remaining += data
            if state != _OPEN:
                self._oldest_at = min(self._oldest_at, claimed_at)
        if len(remaining) < len(self._rows) * _ROW.size:
            self._rows = rows.RowTable(_ROW.size, remaining)

    def _recover(self, at: float) -> None:
        self._recovered_at = at
        for digest in list(self._holders):
            self._mark_unknown(self._find(digest))

    def _result(self, row: _Row) -> command.Result:
        if row.state == _OPEN:
            return command.Result(State.OPEN, holder=self._holders[row.digest])
        if row.state == _UNKNOWN:
            return command.Result(State.UNKNOWN)
        if row.state == _NOT_KEPT:
            return command.Result(State.NOT_KEPT)
        answer = self._answers.get(int.from_bytes(row.owner, "little"))
        if answer is None:
            return command.Result(State.EXPIRED)
        status, length = _ANSWER_HEADER.unpack_from(answer)
        end = _ANSWER_HEADER.size + length
        content_type = answer[_ANSWER_HEADER.size : end].decode()
        return command.Result(State.ANSWERED, status, content_type, answer[end:])


def _digest(account: str, key: str) -> bytes:
    name = account.encode()
    data = len(name).to_bytes(4, "little") + name + key.encode()
    return hashlib.blake2b(data, digest_size=16).digest()


def _short_fingerprint(fingerprint: bytes) -> bytes:
    return fingerprint[:8].ljust(8, b"\0")


def _holder_digest(holder: command.Holder) -> bytes:
    return hashlib.blake2b(codec.pack(holder), digest_size=8).digest()


def _intern_holder(holder: command.Holder) -> command.Holder:
    """Return a holder that shares its strings with others of the same process."""
    return command.Holder(
        sys.intern(holder.instance), sys.intern(holder.process), holder.serial
    )


def _pack_answer(item: command.RecordAnswer) -> bytes:
    content_type = item.content_type.encode()
    header = _ANSWER_HEADER.pack(item.status, len(content_type))
    return b"".join((header, content_type, item.body))


def _answer_cost_bytes(answer: bytes) -> int:
    return len(answer) + ANSWER_OVERHEAD_BYTES
