"""Check the fits that the capacity estimates are based on."""

import pytest

from bench import sweep

SIZES = (10, 20, 40, 80, 160)


def test_a_linear_cost_has_no_bend():
    slope = sweep.fit("r", "m", "x", [(size, 5.0 + 2.0 * size) for size in SIZES])
    assert (slope.intercept, slope.slope) == (
        pytest.approx(5.0),
        pytest.approx(2.0),
    )
    assert slope.residual < 1e-3
    assert slope.bends_at is None


@pytest.mark.parametrize(
    "values",
    [
        [10.0, 20.0, 40.0, 40.0, 40.0],
        [1.0, 1.0, 1.0, 1.0, 100.0],
    ],
)
def test_a_bend_is_reported(values):
    slope = sweep.fit("r", "m", "x", list(zip(SIZES, values, strict=True)))
    assert slope.bends_at is not None
    assert slope.residual > 0.1


def test_the_exponent_tells_constant_from_quadratic():
    flat = sweep.fit("r", "m", "x", [(size, 3.0) for size in SIZES])
    square = sweep.fit("r", "m", "x", [(size, float(size * size)) for size in SIZES])
    assert flat.exponent == 0.0
    assert square.exponent == 2.0
