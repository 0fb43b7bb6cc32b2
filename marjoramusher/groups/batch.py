"""Merge the effects of several events, so that they share one sync."""

from collections.abc import Iterable, Iterator

from ..consensus import message


def merge(first: message.Persist | None, then: message.Persist) -> message.Persist:
    """Return what has the effect of two `Persist` in a row."""
    if first is None:
        return then
    entries = first.entries
    cut = first.truncate_from
    if then.truncate_from is not None:
        entries = tuple(e for e in entries if e.index < then.truncate_from)
        cut = then.truncate_from if cut is None else min(cut, then.truncate_from)
    return message.Persist(
        then.hard_state or first.hard_state,
        cut,
        entries + then.entries,
        first.boots + then.boots,
    )


def split(
    effects: Iterable[message.Effect],
) -> Iterator[tuple[message.Persist | None, list[message.Effect]]]:
    """Give what to persist and then what to carry out, in order.

    Persisting earlier than asked is safe. A snapshot replaces the log, so it is a
    part of its own.
    """
    persist: message.Persist | None = None
    others: list[message.Effect] = []
    for effect in effects:
        match effect:
            case message.Persist():
                persist = merge(persist, effect)
            case message.RestoreSnapshot():
                yield persist, others
                yield None, [effect]
                persist, others = None, []
            case _:
                others.append(effect)
    yield persist, others
