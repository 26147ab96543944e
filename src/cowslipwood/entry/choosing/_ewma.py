"""An exponentially weighted moving average."""

__all__ = ["Ewma"]


class Ewma:
    """An exponentially weighted moving average.

    Parameters
    ----------
    weight : float
        Weight of each new value, from 0 to 1. A higher weight makes older values
        count for less.
    from_zero : bool
        Whether the average starts from 0, as if many zeros had been added before.
        Otherwise the first values are averaged with equal weights until their
        weight falls below `weight`.

    Attributes
    ----------
    value : float
        The average; 0 before the first value.
    n_values : int
        Values added since the last reset.
    """

    __slots__ = ("_from_zero", "n_values", "value", "weight")

    def __init__(self, weight: float, from_zero: bool = False):
        self.weight = weight
        self._from_zero = from_zero
        self.reset()

    def add(self, value: float) -> None:
        """Add a value to the average."""
        self.n_values += 1
        value_weight = self.weight
        if not self._from_zero:
            value_weight = max(value_weight, 1.0 / self.n_values)
        self.value += value_weight * (value - self.value)

    def reset(self) -> None:
        """Remove all values."""
        self.value = 0.0
        self.n_values = 0
