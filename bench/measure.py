"""The value of one measure."""

import msgspec


class Measure(msgspec.Struct, frozen=True):
    """Hold a measured value with its target and the baseline's value.

    Parameters
    ----------
    measure : str
        Name; a suffix after a slash or in brackets names the deployment or case.
    target : str
        Bound from the design, for example ``<= 1.3``; empty or ``reported`` if there
        is none.
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
        """Return whether the value meets the target; ``None`` without a target."""
        if self.target in ("", "reported"):
            return None
        operator, bound = self.target.split()
        if operator == "<=":
            return self.value <= float(bound)
        if operator == "<":
            return self.value < float(bound)
        if operator == ">=":
            return self.value >= float(bound)
        return self.value == float(bound)
