"""An exponentially weighted mean."""

__all__ = ["Ewma"]


class Ewma:
    """A mean in which each new value has the weight `weight`.

    Parameters
    ----------
    weight : float
        From 0 to 1; the higher, the faster old values fade.
    from_zero : bool
        Whether the mean starts from 0 as if many zeros had come before;
        otherwise the first values count in full.
    """

    __slots__ = ("_from_zero", "n_values", "value", "weight")

    def __init__(self, weight: float, from_zero: bool = False):
        self.weight = weight
        self._from_zero = from_zero
        self.reset()

    def add(self, value: float) -> None:
        """Take in a value."""
        self.n_values += 1
        share = self.weight
        if not self._from_zero:
            share = max(share, 1.0 / self.n_values)
        self.value += share * (value - self.value)

    def reset(self) -> None:
        """Forget every value."""
        self.value = 0.0
        self.n_values = 0
