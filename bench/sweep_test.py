"""Guards the fits that the capacity figures rest on."""

import pytest

from bench import sweep

SIZES = (10, 20, 40, 80, 160)


def test_a_line_is_found_without_a_bend():
    found = sweep.fit("r", "m", "x", [(size, 5.0 + 2.0 * size) for size in SIZES])
    assert (found.intercept, found.slope) == (
        pytest.approx(5.0),
        pytest.approx(2.0),
    )
    assert found.residual < 1e-3
    assert found.bends_at is None


@pytest.mark.parametrize(
    "values",
    [
        [10.0, 20.0, 40.0, 40.0, 40.0],
        [1.0, 1.0, 1.0, 1.0, 100.0],
    ],
)
def test_a_bend_is_reported(values):
    found = sweep.fit("r", "m", "x", list(zip(SIZES, values, strict=True)))
    assert found.bends_at is not None
    assert found.residual > 0.1


def test_the_exponent_tells_constant_from_quadratic():
    flat = sweep.fit("r", "m", "x", [(size, 3.0) for size in SIZES])
    square = sweep.fit("r", "m", "x", [(size, float(size * size)) for size in SIZES])
    assert flat.exponent == 0.0
    assert square.exponent == 2.0
