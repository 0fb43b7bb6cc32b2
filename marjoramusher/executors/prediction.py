"""Log lines and gauges about the prediction of run times."""

from ..core import clock
from ..telemetry import log, metrics
from ..workflows import machine, run_times

UPDATE_INTERVAL_S = 5.0
# Factor by which the median ratio of a key has to change to be logged again.
CHANGE_FACTOR = 1.5
# Lines of one update. The rest follows with the next updates, if it still applies.
MAX_LINES = 4
QUANTILES = (0.5, 0.9)


class PredictionReport:
    """Report how far declared run times are off, while this instance leads.

    Parameters
    ----------
    state : WorkflowMachine
        Replicated state.
    """

    __slots__ = ("_clock", "_logged", "_metrics", "_state", "_updated_s")

    def __init__(
        self,
        state: machine.WorkflowMachine,
        time: clock.Clock,
        metrics_registry: metrics.Metrics,
    ) -> None:
        self._state = state
        self._clock = time
        self._metrics = metrics_registry
        # Median ratio of each key when it was last logged.
        self._logged: dict[run_times.Key, float] = {}
        self._updated_s = float("-inf")

    def on_leading(self) -> None:
        """Start from the present ratios; a former leader has logged them."""
        self._logged = {key: ratio for key, ratio, _ in self._state.run_times.medians()}
        self._updated_s = float("-inf")

    def update(self) -> None:
        """Update the gauges and log changed ratios, at a fixed interval."""
        now_s = self._clock.monotonic()
        if now_s - self._updated_s < UPDATE_INTERVAL_S:
            return
        self._updated_s = now_s
        self._metrics.set_gauge("run_time_keys", len(self._state.run_times))
        for queue, ratios in self._state.run_times.queue_ratios().items():
            for quantile in QUANTILES:
                self._metrics.set_gauge(
                    "run_time_ratio",
                    ratios.quantile(quantile),
                    queue=queue,
                    quantile=f"{quantile:g}",
                )
        self._log_changes()

    def _log_changes(self) -> None:
        medians = list(self._state.run_times.medians())
        present = {key for key, _, _ in medians}
        self._logged = {
            key: ratio for key, ratio in self._logged.items() if key in present
        }
        lines = 0
        for key, ratio, count in medians:
            former = self._logged.get(key, 1.0)  # the declared run time
            if max(ratio / former, former / ratio) < CHANGE_FACTOR:
                continue
            if lines == MAX_LINES:
                return
            lines += 1
            self._logged[key] = ratio
            log.state_change(
                "run_time.changed",
                queue=key.queue,
                image=key.image,
                account=key.account,
                ratio=ratio,
                former=former,
                runs=count,
            )
