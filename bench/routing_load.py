"""Generate seeded requests for the two deployments."""

import random
from collections.abc import Iterator

import msgspec

TOTAL_SLOTS = 192
SHORT_MEAN_S = 0.08
LONG_MEAN_S = 2.5
SHORT_DEADLINE_S = 2.0
LONG_DEADLINE_S = 30.0
ACCOUNT_WEIGHTS = {"large": 4, "middle": 3, "small": 2, "tiny": 1}
DEMAND_SHARES = {"large": 0.5, "middle": 0.3, "small": 0.15, "tiny": 0.05}


class Deployment(msgspec.Struct, frozen=True):
    """Describe the network and the load of a deployment.

    Parameters
    ----------
    short_load, long_load : float
        Base demand of each class as a share of all slots.
    blocking_load : float
        Demand of the long class in the measurement of head-of-line blocking.
    """

    name: str
    domain_one_way_s: float
    caller_one_way_s: float
    short_load: float
    long_load: float
    blocking_load: float
    region_one_way_s: float = 0.030
    link_bytes_per_s: float = 15e6 / 8


A = Deployment("a", 0.0015, 0.001, short_load=0.30, long_load=0.35, blocking_load=0.65)
B = Deployment("b", 0.001, 0.003, short_load=0.45, long_load=0.15, blocking_load=0.5)


class Arrival(msgspec.Struct, frozen=True, gc=False):
    """Hold one request of a caller.

    Parameters
    ----------
    declared_class : str
        Class that the caller declares; it may differ from the actual class.
    """

    at: float
    account: str
    declared_class: str
    run_s: float
    deadline_s: float
    repeatable: bool
    is_long: bool


def arrivals(
    deployment: Deployment,
    seed: int,
    until_s: float,
    peak: tuple[float, float] | None = None,
    long_load: float | None = None,
) -> Iterator[Arrival]:
    """Yield requests in order of time.

    Long requests arrive in bursts of one account. One short request in 200 runs 10
    times longer than usual. During the peak, requests arrive at three times the rate.
    """
    if long_load is None:
        long_load = deployment.long_load
    streams = [_stream(deployment.short_load, seed, until_s, peak, False)]
    if long_load:
        streams.append(_stream(long_load, seed + 1000, until_s, peak, True))
    yield from sorted((a for s in streams for a in s), key=lambda a: a.at)


def _stream(
    load: float,
    seed: int,
    until_s: float,
    peak: tuple[float, float] | None,
    is_long: bool,
) -> Iterator[Arrival]:
    rng = random.Random(seed)
    mean_s = LONG_MEAN_S if is_long else SHORT_MEAN_S
    mean_burst = 12 if is_long else 1
    rate = load * TOTAL_SLOTS / mean_s / mean_burst
    accounts = list(DEMAND_SHARES)
    now = 0.0
    while True:
        factor = 3.0 if peak and peak[0] <= now < peak[1] else 1.0
        now += rng.expovariate(rate * factor)
        if now >= until_s:
            return
        account = rng.choices(accounts, DEMAND_SHARES.values())[0]
        for _ in range(rng.randint(1, 2 * mean_burst - 1)):
            yield _arrival(rng, now, account, mean_s, is_long)


def _arrival(
    rng: random.Random, now: float, account: str, mean_s: float, is_long: bool
) -> Arrival:
    sigma = 0.6
    run_s = rng.lognormvariate(0.0, sigma) * mean_s / 1.197
    if not is_long and rng.random() < 0.005:
        run_s *= 10.0
    # The account "small" declares the wrong class, "tiny" declares none.
    declared_class = "long" if is_long != (account == "small") else "short"
    if account == "tiny":
        declared_class = ""
    return Arrival(
        now,
        account,
        declared_class,
        run_s,
        LONG_DEADLINE_S if is_long else SHORT_DEADLINE_S,
        rng.random() >= 0.2,
        is_long,
    )
