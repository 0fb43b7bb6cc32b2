"""Reclassification and hedging of short requests that run longer than expected."""

from . import dispatch, effect, fair_queue, state

SHORT, LONG = state.SHORT, state.LONG
OVERRUN_FACTOR = 3.0  # relative to the 0.9 quantile of the run time
HEDGE_FACTOR = 2.0  # relative to the 0.9 quantile of the run time
MIN_HEDGE_DELAY_S = 0.05
MIN_HEDGE_RUNS = 20  # with fewer runs the upper quantile is unreliable


def reclassify_overruns(
    service: state.ServiceState, entry: fair_queue.Entry, now: float
) -> None:
    """Count overrunning attempts as long work, which lets fewer long requests start."""
    limit_s = min(OVERRUN_FACTOR * entry.run_time.p90_s, service.record.short_run_s)
    for attempt in entry.attempts.values():
        if attempt.run_class is SHORT and now - attempt.sent_at > limit_s:
            attempt.run_class = LONG
            service.in_flight[SHORT] -= 1
            service.in_flight[LONG] += 1


def hedge(
    dispatcher: dispatch.Dispatcher,
    service: state.ServiceState,
    entry: fair_queue.Entry,
    now: float,
) -> effect.Dispatch | None:
    """Dispatch a second attempt of an entry whose only attempt is overdue.

    Returns
    -------
    Dispatch or None
        ``None`` if the attempt isn't overdue, the entry can't be hedged, no other
        target is free or the hedge budget is spent.
    """
    if not _can_hedge(entry):
        return None
    (attempt,) = entry.attempts.values()
    delay_s = max(HEDGE_FACTOR * entry.run_time.p90_s, MIN_HEDGE_DELAY_S)
    if now - attempt.sent_at < delay_s or not service.free_targets:
        return None
    others = [t for t in service.free_targets if t is not attempt.target]
    if not others or not service.hedge_budget.take():
        return None
    entry.is_hedged = True
    target = min(others, key=lambda t: (t.in_flight + 1) * t.slowness / t.slot_limit)
    return dispatcher.dispatch_to(service, entry, target, now)


def _can_hedge(entry: fair_queue.Entry) -> bool:
    return (
        len(entry.attempts) == 1
        and not entry.has_response_started
        and not entry.is_hedged
        and entry.request.repeatable
        and entry.run_time.count >= MIN_HEDGE_RUNS
    )
