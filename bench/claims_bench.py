"""Compare two ways to choose an idempotency key's home: by account or signed id."""

import itertools
import random
from collections.abc import Iterator, Sequence

import msgspec

from bench import measure, routing_driver, routing_load
from marjoramusher.claims import home

REQUESTS = 20_000
# Share of callers that send the request where they obtained the id.
SAME_CONNECTION_SHARE = 0.9
# Share of callers that connect to the home of their account; others pick any domain.
HOME_ENTRY_SHARES = {"anywhere": 0.0, "near": 0.9}
RESEND_SHARE = 0.03  # share of requests whose first answer is lost
COMMIT_DELAY_S = 0.0006  # round trip between two local voters and one synced append
SIGNING_KEY = home.signing_key(b"bench")


class _Result(msgspec.Struct, frozen=True):
    refused_share: float
    p50_ms: float
    p99_ms: float


def measures(seeds: Sequence[int]) -> Iterator[measure.Measure]:
    """Yield each measure for the account's home, with the signed id as its baseline."""
    cases = itertools.product(
        seeds, (routing_load.A, routing_load.B), HOME_ENTRY_SHARES.items()
    )
    for seed, deployment, (case, home_entry_share) in cases:
        name = f"{deployment.name}-{case}"
        cut_results = [
            _simulate_requests(deployment, seed, is_signed, "d3", home_entry_share)
            for is_signed in (False, True)
        ]
        uncut_results = [
            _simulate_requests(deployment, seed, is_signed, "", home_entry_share)
            for is_signed in (False, True)
        ]
        for metric, unit, results, field in (
            ("claim_refused_share_cut", "ratio", cut_results, "refused_share"),
            ("claim_added_p50_ms", "ms", uncut_results, "p50_ms"),
            ("claim_added_p99_ms", "ms", uncut_results, "p99_ms"),
        ):
            account_value, signed_value = (getattr(item, field) for item in results)
            yield measure.Measure(
                f"{metric}/{name}", account_value, unit, "", signed_value, seed
            )


def _simulate_requests(
    deployment: routing_load.Deployment,
    seed: int,
    is_signed: bool,
    cut_domain: str,
    home_entry_share: float,
) -> _Result:
    rng = random.Random(seed)
    domains = routing_driver.DOMAINS
    homes = {n: domains[i % 3] for i, n in enumerate(routing_load.ACCOUNT_WEIGHTS)}
    refused_count, added_ms = 0, []
    for sequence in range(REQUESTS):
        account = rng.choices(list(homes), routing_load.DEMAND_SHARES.values())[0]
        owner = homes[account]
        entry = owner if rng.random() < home_entry_share else rng.choice(domains)
        added_s = 0.0
        if is_signed:
            issuer = entry
            if rng.random() >= SAME_CONNECTION_SHARE:
                issuer = (
                    owner if rng.random() < home_entry_share else rng.choice(domains)
                )
            signed_id = home.sign(
                home.SignedId(issuer, sequence, f"{sequence:x}"), SIGNING_KEY
            )
            owner = home.verify(signed_id, SIGNING_KEY, sequence / 1000).failure_domain
            added_s += 2 * deployment.caller_one_way_s
        for _ in range(2 if rng.random() < RESEND_SHARE else 1):
            if cut_domain in (entry, owner) and entry != owner:
                refused_count += 1
                break
            added_ms.append(
                (added_s + COMMIT_DELAY_S + 2 * _one_way(deployment, entry, owner))
                * 1e3
            )
            entry = owner if rng.random() < home_entry_share else rng.choice(domains)
            added_s = 0.0
    added_ms.sort()
    return _Result(
        refused_count / REQUESTS,
        added_ms[len(added_ms) // 2],
        added_ms[int(len(added_ms) * 0.99)],
    )


def _one_way(deployment: routing_load.Deployment, entry: str, owner: str) -> float:
    if entry == owner:
        return 0.0
    if routing_driver.REGION_BY_DOMAIN[entry] == routing_driver.REGION_BY_DOMAIN[owner]:
        return deployment.domain_one_way_s
    return deployment.region_one_way_s
