"""Batching of the effects of several events, so that they share one sync."""

from collections.abc import Iterable, Iterator

from ..consensus import message


def merge(first: message.Persist | None, second: message.Persist) -> message.Persist:
    """Return a `Persist` equivalent to two consecutive ones."""
    if first is None:
        return second
    entries = first.entries
    truncate_from = first.truncate_from
    if second.truncate_from is not None:
        entries = tuple(e for e in entries if e.index < second.truncate_from)
        truncate_from = (
            second.truncate_from
            if truncate_from is None
            else min(truncate_from, second.truncate_from)
        )
    return message.Persist(
        second.hard_state or first.hard_state,
        truncate_from,
        entries + second.entries,
        first.boots + second.boots,
    )


def split(
    effects: Iterable[message.Effect],
) -> Iterator[tuple[message.Persist | None, list[message.Effect]]]:
    """Yield pairs of a merged `Persist` and the effects to carry out after it.

    Persisting something earlier than requested is safe. Restoring a snapshot replaces
    the log, so persists are not merged across it and it forms a pair of its own.
    """
    persist: message.Persist | None = None
    effects_after: list[message.Effect] = []
    for effect in effects:
        match effect:
            case message.Persist():
                persist = merge(persist, effect)
            case message.RestoreSnapshot():
                yield persist, effects_after
                yield None, [effect]
                persist, effects_after = None, []
            case _:
                effects_after.append(effect)
    yield persist, effects_after
