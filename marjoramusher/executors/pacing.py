"""Speed limit of the fill tasks that run next to serving tasks."""

from collections.abc import Iterable

import msgspec

from ..workflows import workflow

# The reported tail latencies are rough values of the last half second. The pace is
# therefore lowered before a target is missed, and raised only with enough margin for
# the effect of one step.
SLOW_DOWN_AT = 0.85  # tail latency as a share of its target
SPEED_UP_AT = 0.6
FULL_PACE = 100  # percent
# Initial pace on a worker without measurements. Two halvings, which take 1 s, reach a
# tenth of the full speed, well within the time for which a target may be missed.
INITIAL_PACE = 40
PACE_STEP = 15
PACE_STEP_INTERVAL_S = 2.0  # interference changes within seconds
MIN_PACE = 10  # fill tasks are suspended instead of running below this pace
MIN_PACE_FOR_MORE = 50  # no fill tasks are added to a worker below this pace
# The pace is sent again, since a delayed request may have overwritten a newer one.
RESEND_S = 2.0


class TailLatency(msgspec.Struct, frozen=True):
    """Tail latency of a serving task, and its target."""

    tail_ms: float
    target_ms: float


class Pacer:
    """Pace of all fill tasks on one worker.

    While a target is at risk, the pace falls in proportion to the tail latency, at
    least by half. Otherwise it rises in steps.
    """

    __slots__ = ("_changed_s", "_confirmed", "_pace")

    def __init__(self) -> None:
        self._pace = INITIAL_PACE
        self._changed_s = float("-inf")
        self._confirmed: dict[workflow.Placement, tuple[int, float]] = {}

    @property
    def pace(self) -> int:
        """Return the percentage of full speed for fill tasks."""
        return self._pace

    @property
    def accepts_more(self) -> bool:
        """Tell whether more fill tasks may be placed on the worker."""
        return self._pace >= MIN_PACE_FOR_MORE or not self._confirmed

    def update(
        self,
        latencies: Iterable[TailLatency],
        fill_runs: Iterable[workflow.Placement],
        now_s: float,
    ) -> list[workflow.Placement]:
        """Adjust the pace, and return the runs to which it has to be sent.

        Parameters
        ----------
        latencies : iterable of TailLatency
            Latencies of the serving tasks on the worker.
        fill_runs : iterable of Placement
            Runs of fill tasks on the worker.
        """
        fill_runs = list(fill_runs)
        worst_share = max(
            (latency.tail_ms / latency.target_ms for latency in latencies),
            default=None,
        )
        if worst_share is None or not fill_runs:
            self._pace = FULL_PACE if worst_share is None else INITIAL_PACE
        elif worst_share >= SLOW_DOWN_AT:
            reduced = min(self._pace // 2, int(self._pace * SPEED_UP_AT / worst_share))
            self._pace = reduced if reduced >= MIN_PACE else 0
            self._changed_s = now_s
        elif (
            worst_share <= SPEED_UP_AT
            and now_s - self._changed_s >= PACE_STEP_INTERVAL_S
        ):
            self._pace = min(FULL_PACE, max(self._pace, MIN_PACE) + PACE_STEP)
            self._changed_s = now_s
        self._confirmed = {
            run: confirmed
            for run, confirmed in self._confirmed.items()
            if run in fill_runs
        }
        return [run for run in fill_runs if self._must_send(run, now_s)]

    def record_confirmed(
        self, run: workflow.Placement, pace: int, now_s: float
    ) -> None:
        """Record that a run has confirmed a pace."""
        self._confirmed[run] = (pace, now_s)

    def _must_send(self, run: workflow.Placement, now_s: float) -> bool:
        pace, confirmed_s = self._confirmed.get(run, (FULL_PACE, float("-inf")))
        if pace != self._pace:
            return True
        return self._pace < FULL_PACE and now_s - confirmed_s >= RESEND_S
