"""Seeded requests of the two deployments."""

import random
from collections.abc import Iterator

import msgspec

SLOTS = 192
SHORT_MEAN_S = 0.08
LONG_MEAN_S = 2.5
SHORT_DEADLINE_S = 2.0
LONG_DEADLINE_S = 30.0
ACCOUNTS = {"large": 4, "middle": 3, "small": 2, "tiny": 1}
SHARES = {"large": 0.5, "middle": 0.3, "small": 0.15, "tiny": 0.05}


class Deployment(msgspec.Struct, frozen=True):
    """Network of a deployment and the weight of its work.

    Parameters
    ----------
    short_load, long_load : float
        Base demand of each class as a share of all slots.
    blocking_load : float
        Demand of the long class that head-of-line blocking is measured at.
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
    """One request of a caller."""

    at: float
    account: str
    declared: str
    run_s: float
    deadline_s: float
    repeatable: bool
    long: bool


def arrivals(
    deployment: Deployment,
    seed: int,
    until_s: float,
    crest: tuple[float, float] | None = None,
    long_load: float | None = None,
) -> Iterator[Arrival]:
    """Yield requests in order of time.

    Long ones come in bursts of one account. One short request in 200 runs 10 times
    longer than its kind. During the crest, three times as many requests arrive.
    """
    if long_load is None:
        long_load = deployment.long_load
    streams = [_stream(deployment.short_load, seed, until_s, crest, False)]
    if long_load:
        streams.append(_stream(long_load, seed + 1000, until_s, crest, True))
    yield from sorted((a for s in streams for a in s), key=lambda a: a.at)


def _stream(
    load: float,
    seed: int,
    until_s: float,
    crest: tuple[float, float] | None,
    long: bool,
) -> Iterator[Arrival]:
    rng = random.Random(seed)
    mean_s = LONG_MEAN_S if long else SHORT_MEAN_S
    burst = 12 if long else 1
    rate = load * SLOTS / mean_s / burst
    names = list(SHARES)
    now = 0.0
    while True:
        factor = 3.0 if crest and crest[0] <= now < crest[1] else 1.0
        now += rng.expovariate(rate * factor)
        if now >= until_s:
            return
        account = rng.choices(names, SHARES.values())[0]
        for _ in range(rng.randint(1, 2 * burst - 1)):
            yield _arrival(rng, now, account, mean_s, long)


def _arrival(
    rng: random.Random, now: float, account: str, mean_s: float, long: bool
) -> Arrival:
    sigma = 0.6
    run_s = rng.lognormvariate(0.0, sigma) * mean_s / 1.197
    if not long and rng.random() < 0.005:
        run_s *= 10.0
    # The account "small" declares the opposite of what it sends, "tiny" nothing.
    declared = "long" if long != (account == "small") else "short"
    if account == "tiny":
        declared = ""
    return Arrival(
        now,
        account,
        declared,
        run_s,
        LONG_DEADLINE_S if long else SHORT_DEADLINE_S,
        rng.random() >= 0.2,
        long,
    )
