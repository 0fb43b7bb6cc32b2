"""Effects of one step, with everything to be synced in front."""

from . import message


class Outbox:
    """Collect the effects of a step.

    All that has to be synced is joined into one `Persist` at the head, so no message
    can leave before what it relies on.
    """

    __slots__ = ("_boots", "_effects", "_entries", "_hard_state", "_truncate_from")

    def __init__(self) -> None:
        self._clear()

    def emit(self, effect: message.Effect) -> None:
        """Add an effect."""
        self._effects.append(effect)

    def persist_hard_state(self, hard_state: message.HardState) -> None:
        """Have the term and the vote synced."""
        self._hard_state = hard_state

    def persist_entries(
        self, entries: tuple[message.Entry, ...], truncate_from: int | None = None
    ) -> None:
        """Have entries synced, after dropping those from `truncate_from` on."""
        if truncate_from is not None:
            # The first step of a new group may drop its own first entry again.
            self._entries = tuple(
                entry for entry in self._entries if entry.index < truncate_from
            )
            self._truncate_from = truncate_from
        self._entries += entries

    def persist_boot(self, peer: message.VoterId, boot: int) -> None:
        """Have the boot of a peer synced."""
        self._boots += ((peer, boot),)

    def take(self) -> list[message.Effect]:
        """Return the effects in order and start anew."""
        effects = self._effects
        if (
            self._entries
            or self._hard_state is not None
            or self._truncate_from is not None
            or self._boots
        ):
            persist = message.Persist(
                self._hard_state, self._truncate_from, self._entries, self._boots
            )
            effects.insert(0, persist)
        self._clear()
        return effects

    def _clear(self) -> None:
        self._effects: list[message.Effect] = []
        self._hard_state: message.HardState | None = None
        self._truncate_from: int | None = None
        self._entries: tuple[message.Entry, ...] = ()
        self._boots: tuple[tuple[message.VoterId, int], ...] = ()
