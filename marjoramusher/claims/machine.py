"""Replicated claims of idempotency keys with their recorded answers."""

import collections

import msgspec

from ..core import codec
from . import command

RETENTION_S = 24 * 3600.0
MAX_ANSWER_BYTES = 64 * 1024
MAX_ANSWERS_BYTES = 64 * 1024 * 1024

State = command.State
Key = tuple[str, str]


class _Entry(msgspec.Struct, array_like=True):
    account: str
    key: str
    fingerprint: bytes
    holder: command.Holder
    at: float
    state: command.State = State.OPEN
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class _Snapshot(msgspec.Struct, array_like=True):
    recovered_at: float | None
    entries: list[_Entry]
    answered: list[tuple[str, str]]


class ClaimsMachine:
    """Keep which keys are claimed, and what was answered.

    Parameters
    ----------
    max_answers_bytes : int
        Bound on the bodies kept; the oldest are dropped first and their keys stay.
    """

    def __init__(self, max_answers_bytes: int = MAX_ANSWERS_BYTES) -> None:
        self._max_answers_bytes = max_answers_bytes
        self._entries: dict[Key, _Entry] = {}
        self._answered: collections.deque[Key] = collections.deque()
        self._answers_bytes = 0
        # Open claims are few; the leader looks at their holders every second.
        self._open: dict[Key, _Entry] = {}
        self._recovered_at: float | None = None

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def answers_bytes(self) -> int:
        """Return the size of the bodies kept."""
        return self._answers_bytes

    def state(self, account: str, key: str) -> command.Result:
        """Return what is known of a key, without a claim."""
        entry = self._entries.get((account, key))
        return command.Result(State.MISSING) if entry is None else _result(entry)

    def holders(self) -> set[command.Holder]:
        """Return the processes that hold open claims."""
        return {entry.holder for entry in self._open.values()}

    def apply(self, index: int, data: bytes) -> bytes:
        """Apply a batch of commands and return their results."""
        del index
        commands = codec.unpack(data, list[command.Command])
        return codec.pack([self._apply(item) for item in commands])

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return codec.pack(
            _Snapshot(
                self._recovered_at, list(self._entries.values()), list(self._answered)
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by one that `snapshot` gave."""
        state = codec.unpack(data, _Snapshot)
        self._recovered_at = state.recovered_at
        self._entries = {(e.account, e.key): e for e in state.entries}
        self._answered = collections.deque(state.answered)
        self._answers_bytes = sum(len(e.body) for e in state.entries)
        self._open = {k: e for k, e in self._entries.items() if e.state is State.OPEN}

    def _apply(self, item: command.Command) -> command.Result:
        match item:
            case command.Claim():
                return self._claim(item)
            case command.Record():
                return self._record(item)
            case command.Unknown():
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

    def _claim(self, item: command.Claim) -> command.Result:
        key = (item.account, item.key)
        entry = self._entries.get(key)
        if entry is not None:
            if entry.fingerprint != item.fingerprint:
                return command.Result(State.REUSED)
            if (
                entry.state is State.OPEN
                and entry.holder.instance == item.holder.instance
                and entry.holder.process != item.holder.process
            ):
                # The instance runs one process at a time, so the holder has ended.
                entry.state = State.UNKNOWN
                del self._open[key]
            return _result(entry)
        # A lost key is kept as unknown, so that later resends get the same answer.
        state = State.UNKNOWN if self._may_be_lost(item) else State.OPEN
        made = self._entries[key] = _Entry(
            item.account, item.key, item.fingerprint, item.holder, item.at, state
        )
        if state is State.OPEN:
            self._open[key] = made
        granted = State.GRANTED if state is State.OPEN else state
        return command.Result(granted)

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
    ) -> tuple[_Entry | None, command.Result | None]:
        entry = self._entries.get((account, key))
        if entry is None or entry.holder != holder:
            return None, command.Result(State.MISSING)
        if entry.state not in (State.OPEN, State.UNKNOWN):
            return None, _result(entry)
        return entry, None

    def _record(self, item: command.Record) -> command.Result:
        entry, refused = self._held(item.account, item.key, item.holder)
        if entry is None:
            return refused
        self._open.pop((item.account, item.key), None)
        entry.status = item.status
        entry.content_type = item.content_type
        if item.kept and len(item.body) <= MAX_ANSWER_BYTES:
            entry.state = State.ANSWERED
            entry.body = item.body
            self._answers_bytes += len(item.body)
            self._answered.append((item.account, item.key))
            self._drop_oldest()
        else:
            entry.state = State.NOT_KEPT
        return command.Result(State.APPLIED)

    def _drop_oldest(self) -> None:
        while self._answers_bytes > self._max_answers_bytes:
            entry = self._entries.get(self._answered.popleft())
            if entry is not None and entry.state is State.ANSWERED:
                self._answers_bytes -= len(entry.body)
                entry.body = b""
                entry.state = State.EXPIRED

    def _unknown(self, item: command.Unknown) -> command.Result:
        entry, refused = self._held(item.account, item.key, item.holder)
        if entry is None:
            return refused
        self._open.pop((item.account, item.key), None)
        entry.state = State.UNKNOWN
        return command.Result(State.APPLIED)

    def _release(self, item: command.Release) -> command.Result:
        entry, refused = self._held(item.account, item.key, item.holder)
        if entry is None:
            return refused
        self._open.pop((item.account, item.key), None)
        del self._entries[item.account, item.key]
        return command.Result(State.APPLIED)

    def _abandon(self, item: command.Abandon) -> None:
        for key, entry in list(self._open.items()):
            if entry.holder.instance == item.instance and item.process in (
                "",
                entry.holder.process,
            ):
                entry.state = State.UNKNOWN
                del self._open[key]

    def _expire(self, at: float) -> None:
        # Entries are in the order of their claims, but proposers' clocks differ, so
        # the search doesn't stop at the first young one.
        for key, entry in list(self._entries.items()):
            if entry.at < at - RETENTION_S and entry.state is not State.OPEN:
                self._answers_bytes -= len(entry.body)
                del self._entries[key]
        self._answered = collections.deque(
            key
            for key in self._answered
            if key in self._entries and self._entries[key].state is State.ANSWERED
        )

    def _recover(self, at: float) -> None:
        self._recovered_at = at
        for entry in self._open.values():
            entry.state = State.UNKNOWN
        self._open.clear()


def _result(entry: _Entry) -> command.Result:
    if entry.state is State.OPEN:
        return command.Result(State.OPEN, holder=entry.holder)
    return command.Result(entry.state, entry.status, entry.content_type, entry.body)
