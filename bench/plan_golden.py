"""Compare the plans of random cases with those of an earlier planner.

``python -m bench.plan_golden`` exits with 1 if a plan differs from the recorded one;
``--record`` replaces the record, which is right after a wanted change of the order, the
placement or the victims, and never after a change that only saves time.
"""

import argparse
import pathlib
import sys
from collections.abc import Iterator

import msgspec

from bench import plan_cases, plan_load

RECORD = pathlib.Path(__file__).with_name("plan_golden.json")
CASES = 400
LOAD_CASES = tuple(plan_load.Case(*sizes) for sizes in ((24, 60), (60, 90), (270, 300)))
LOAD_SEEDS = range(3)


def digests(cases: int = CASES) -> Iterator[tuple[str, str]]:
    """Yield the name of each case, and the hash of its plans."""
    for seed in range(cases):
        yield f"random-{seed}", plan_cases.digest(seed)
    for case in LOAD_CASES:
        for seed in LOAD_SEEDS:
            name = f"load-{case.workers}x{case.waiting}-{seed}"
            yield name, plan_cases.load_digest(case, seed)


def differing(cases: int = CASES) -> list[str]:
    """Return the names of the cases whose plans differ from the recorded ones."""
    recorded = msgspec.json.decode(RECORD.read_bytes(), type=dict[str, str])
    return [name for name, found in digests(cases) if recorded[name] != found]


def main() -> int:
    """Record the plans of all cases, or compare with them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--record", action="store_true")
    if parser.parse_args().record:
        encoded = msgspec.json.encode(dict(digests()))
        RECORD.write_text(msgspec.json.format(encoded).decode() + "\n")
        return 0
    names = differing()
    print(f"{len(names)} cases differ: {names}")
    return bool(names)


if __name__ == "__main__":
    sys.exit(main())
