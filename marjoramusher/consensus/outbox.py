"""Collection of the effects of one step, with a single `Persist` in front."""

from . import message


class Outbox:
    """Collects the effects of a step.

    All durable changes are merged into one `Persist` at the head, so that no message
    is sent before the state that it depends on is synced.
    """

    __slots__ = ("_boots", "_effects", "_entries", "_hard_state", "_truncate_from")

    def __init__(self) -> None:
        self._clear()

    def emit(self, effect: message.Effect) -> None:
        """Add an effect."""
        self._effects.append(effect)

    def persist_hard_state(self, hard_state: message.HardState) -> None:
        """Add a term and a vote to the `Persist`."""
        self._hard_state = hard_state

    def persist_entries(
        self, entries: tuple[message.Entry, ...], truncate_from: int | None = None
    ) -> None:
        """Add entries to the `Persist`, truncating from `truncate_from` on."""
        if truncate_from is not None:
            # The first step of a new group may truncate the initial entry that the
            # same step appended.
            self._entries = tuple(
                entry for entry in self._entries if entry.index < truncate_from
            )
            self._truncate_from = truncate_from
        self._entries += entries

    def persist_boot(self, peer: message.VoterId, boot: int) -> None:
        """Add the boot of a peer to the `Persist`."""
        self._boots += ((peer, boot),)

    def take(self) -> list[message.Effect]:
        """Return the effects in order and clear the outbox."""
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
