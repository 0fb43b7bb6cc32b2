"""Short work that runs longer than expected."""

from . import dispatch, effect, fair_queue, state

SHORT, LONG = state.SHORT, state.LONG
OVERRUN_FACTOR = 3.0
HEDGE_FACTOR = 2.0
HEDGE_MIN_S = 0.05
HEDGE_MIN_RUNS = 20  # before this the upper quantile is a guess


def reclassify(service: state.Service, entry: fair_queue.Entry, now: float) -> None:
    """Count what overruns as long work, so that queued long work makes room."""
    limit_s = min(OVERRUN_FACTOR * entry.run.high_s, service.record.short_run_s)
    for attempt in entry.attempts.values():
        if attempt.run_class is SHORT and now - attempt.sent_at > limit_s:
            attempt.run_class = LONG
            service.in_flight[SHORT] -= 1
            service.in_flight[LONG] += 1


def hedge(
    dispatcher: dispatch.Dispatcher,
    service: state.Service,
    entry: fair_queue.Entry,
    now: float,
) -> effect.Dispatch | None:
    """Start a second attempt of an entry that has one, if that may help."""
    if not _may_hedge(entry):
        return None
    (attempt,) = entry.attempts.values()
    limit_s = max(HEDGE_FACTOR * entry.run.high_s, HEDGE_MIN_S)
    if now - attempt.sent_at < limit_s or not service.free:
        return None
    others = [t for t in service.free if t is not attempt.target]
    if not others or not service.hedges.take():
        return None
    entry.hedged = True
    chosen = min(others, key=lambda t: (t.in_flight + 1) * t.slowness / t.limit)
    return dispatcher.send(service, entry, chosen, now)


def _may_hedge(entry: fair_queue.Entry) -> bool:
    return (
        len(entry.attempts) == 1
        and not entry.answering
        and not entry.hedged
        and entry.asked.repeatable
        and entry.run.count >= HEDGE_MIN_RUNS
    )
