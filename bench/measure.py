"""One measured value."""

import msgspec


class Measure(msgspec.Struct, frozen=True):
    """Value of a measure, beside its target and the baseline's value.

    Parameters
    ----------
    measure : str
        Name; a suffix after a slash names the deployment or the case.
    target : str
        Bound as written in the design, for example ``<= 1.3``; empty if the value is
        only reported.
    baseline : float or None
        Value of the baseline on the same input.
    """

    measure: str
    value: float
    unit: str
    target: str
    baseline: float | None
    seed: int

    @property
    def met(self) -> bool | None:
        """Tell whether the value keeps the target; ``None`` without a target."""
        if self.target in ("", "reported"):
            return None
        sign, bound = self.target.split()
        if sign == "<=":
            return self.value <= float(bound)
        if sign == "<":
            return self.value < float(bound)
        if sign == ">=":
            return self.value >= float(bound)
        return self.value == float(bound)
