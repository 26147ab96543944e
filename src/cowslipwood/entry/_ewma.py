"""An exponentially weighted mean."""

__all__ = ["Ewma"]


class Ewma:
    """A mean in which each new value has the weight `weight`.

    Parameters
    ----------
    weight : float
        From 0 to 1; the higher, the faster old values fade.
    """

    __slots__ = ("n_values", "value", "weight")

    def __init__(self, weight: float):
        self.weight = weight
        self.reset()

    def add(self, value: float) -> None:
        """Take in a value."""
        self.n_values += 1
        share = max(self.weight, 1.0 / self.n_values)
        self.value += share * (value - self.value)

    def reset(self) -> None:
        """Forget every value."""
        self.value = 0.0
        self.n_values = 0
