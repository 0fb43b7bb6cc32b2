"""Guards against plans that change when only their cost should."""

from bench import plan_golden

FEW_CASES = 60  # a second; `python -m bench.plan_golden` compares all of them


def test_plans_of_random_cases_are_the_recorded_ones():
    assert plan_golden.differing(FEW_CASES) == []
