"""Compare the homes of idempotency keys: client account against signed id."""

import itertools
import random
from collections.abc import Iterator, Sequence

import msgspec

from bench import measure, routing_driver, routing_load
from marjoramusher.claims import home

REQUESTS = 20_000
SAME_CONNECTION = 0.9  # callers that send the request where they got the id
# Share of callers that enter in the home of their account; the rest enter anywhere.
NEAR = {"anywhere": 0.0, "near": 0.9}
RESENDS = 0.03  # requests whose first answer got lost
COMMIT_S = 0.0006  # round trip between two local voters and one synced append
KEY = home.signing_key(b"bench")


class _Result(msgspec.Struct, frozen=True):
    refused_share: float
    p50_ms: float
    p99_ms: float


def measures(seeds: Sequence[int]) -> Iterator[measure.Measure]:
    """Yield the comparison; the baseline of each value is that of the signed id."""
    cases = itertools.product(seeds, (routing_load.A, routing_load.B), NEAR.items())
    for seed, deployment, (case, near) in cases:
        name = f"{deployment.name}-{case}"
        cut = [_compare(deployment, seed, s, "d3", near) for s in (False, True)]
        whole = [_compare(deployment, seed, s, "", near) for s in (False, True)]
        for what, unit, found, value in (
            ("claim_refused_share_cut", "ratio", cut, "refused_share"),
            ("claim_added_p50_ms", "ms", whole, "p50_ms"),
            ("claim_added_p99_ms", "ms", whole, "p99_ms"),
        ):
            ours, theirs = (getattr(item, value) for item in found)
            yield measure.Measure(f"{what}/{name}", ours, unit, "", theirs, seed)


def _compare(
    deployment: routing_load.Deployment, seed: int, signed: bool, cut: str, near: float
) -> _Result:
    rng = random.Random(seed)
    domains = routing_driver.DOMAINS
    homes = {n: domains[i % 3] for i, n in enumerate(routing_load.ACCOUNTS)}
    refused, added = 0, []
    for serial in range(REQUESTS):
        account = rng.choices(list(homes), routing_load.SHARES.values())[0]
        owner = homes[account]
        entry = owner if rng.random() < near else rng.choice(domains)
        added_s = 0.0
        if signed:
            issuer = entry
            if rng.random() >= SAME_CONNECTION:
                issuer = owner if rng.random() < near else rng.choice(domains)
            text = home.sign(home.SignedId(issuer, serial, f"{serial:x}"), KEY)
            owner = home.verify(text, KEY, serial / 1000).failure_domain
            added_s += 2 * deployment.caller_one_way_s
        for _ in range(2 if rng.random() < RESENDS else 1):
            if cut in (entry, owner) and entry != owner:
                refused += 1
                break
            added.append(
                (added_s + COMMIT_S + 2 * _one_way(deployment, entry, owner)) * 1e3
            )
            entry = owner if rng.random() < near else rng.choice(domains)
            added_s = 0.0
    added.sort()
    return _Result(
        refused / REQUESTS,
        added[len(added) // 2],
        added[int(len(added) * 0.99)],
    )


def _one_way(deployment: routing_load.Deployment, entry: str, owner: str) -> float:
    if entry == owner:
        return 0.0
    if routing_driver.REGION[entry] == routing_driver.REGION[owner]:
        return deployment.domain_one_way_s
    return deployment.region_one_way_s
