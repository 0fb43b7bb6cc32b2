"""One measured figure."""

import msgspec


class Measure(msgspec.Struct):
    """A figure with its target and, where there is one, the baseline's figure."""

    measure: str
    value: float
    unit: str
    target: str
    baseline: float | None
    seed: int
