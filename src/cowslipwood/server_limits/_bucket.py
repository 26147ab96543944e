"""Token buckets, from which the leader grants what a limit allows."""

__all__ = ["LendingBucket", "TokenBucket"]


class TokenBucket:
    """An amount that fills at a rate, up to a capacity.

    The bucket of a new leader starts empty, as another leader may just have granted
    its whole capacity.

    Parameters
    ----------
    rate_per_s, capacity : float
    now_ms : float

    Attributes
    ----------
    rate_per_s, capacity : float
    level : float
        Amount at the last `fill`; negative after more was taken than there was.
    """

    def __init__(self, rate_per_s: float, capacity: float, now_ms: float):
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self.level = 0.0
        self._filled_at_ms = now_ms

    def fill(self, now_ms: float) -> None:
        """Add what the rate has allowed since the last call."""
        if now_ms > self._filled_at_ms:
            added = self.rate_per_s * (now_ms - self._filled_at_ms) / 1000
            self.put_back(added)
            self._filled_at_ms = now_ms

    def set_limit(self, rate_per_s: float, capacity: float, now_ms: float) -> None:
        """Fill at another rate up to another capacity from now on."""
        self.fill(now_ms)
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def take(self, amount: float) -> None:
        """Take an amount, even if there is less."""
        self.level -= amount

    def put_back(self, amount: float) -> None:
        """Add an amount, up to the capacity."""
        self.level = min(self.capacity, self.level + amount)

    def compute_wait_ms(self, amount: float) -> float:
        """Return the time until the bucket holds an amount."""
        return max(0.0, amount - self.level) * 1000.0 / self.rate_per_s


class LendingBucket(TokenBucket):
    """A bucket that takes back what was lent and not used.

    It fills also while something is lent, so that lending holds up nobody. What it has
    filled up to the capacity in place of an amount that is lent is not added again when
    that amount comes back. Otherwise amounts that are lent and returned in turn would
    let more than the capacity be lent at once (found by `spec/customer_allowances.py`).
    """

    def __init__(self, rate_per_s: float, capacity: float, now_ms: float):
        super().__init__(rate_per_s, capacity, now_ms)
        self._n_lent = 0.0
        self._n_replaced = 0.0

    def fill(self, now_ms: float) -> None:
        """Add what the rate has allowed since the last call."""
        super().fill(now_ms)
        n_over = self.level + self._n_lent - self.capacity
        self._n_replaced = min(self._n_lent, max(self._n_replaced, n_over))

    def lend(self, amount: float) -> None:
        """Take an amount that may come back."""
        self.take(amount)
        self._n_lent += amount

    def record_used(self, amount: float) -> None:
        """Record that lent amounts were used; a negative one, that they were not."""
        self._n_lent = max(0.0, self._n_lent - amount)
        self._n_replaced = min(self._n_replaced, self._n_lent)

    def record_returned(self, amount: float) -> None:
        """Take back an amount that was lent."""
        n_replaced = min(amount, self._n_replaced)
        self._n_lent = max(0.0, self._n_lent - amount)
        self._n_replaced = min(self._n_replaced - n_replaced, self._n_lent)
        self.put_back(amount - n_replaced)
