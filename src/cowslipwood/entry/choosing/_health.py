"""Decides when a backend server is passed over, probed and taken back."""

from ._ewma import Ewma

__all__ = ["Health"]

ERROR_WEIGHT = 0.15
SLOW_WEIGHT = 0.1
ERROR_HALF_LIFE_MS = 5_000.0
NEGLIGIBLE_SHARE = 0.01
MAX_ERROR_SHARE = 0.4
MAX_SLOW_RATIO = 3.0
MAX_RATIO_COUNTED = 6.0  # so that a single very late answer ejects nobody
MIN_ERRORS_SEEN = 4
MIN_TIMES_SEEN = 10
EJECT_MS = 1_000.0
MAX_EJECT_MS = 30_000.0
N_PROBES_TO_RETURN = 3


class Health:
    """How one backend server has been answering this entry.

    A server that answers too many errors, or too slowly against its peers, is
    ejected for a time that doubles with each ejection in a row. Then it gets
    one request at a time until enough of them went well.
    """

    __slots__ = (
        "_eject_ms",
        "_error_at_ms",
        "_n_good_probes",
        "ejected_until_ms",
        "errors",
        "slow",
    )

    def __init__(self):
        self.errors = Ewma(ERROR_WEIGHT, from_zero=True)
        self._error_at_ms = 0.0
        self.slow = Ewma(SLOW_WEIGHT)
        self.ejected_until_ms = 0.0
        self._eject_ms = 0.0
        self._n_good_probes = 0

    @property
    def probing(self) -> bool:
        """Whether the server was ejected and has not yet proved itself."""
        return self._eject_ms > 0 and self._n_good_probes < N_PROBES_TO_RETURN

    def usable(self, n_in_flight: int, now_ms: float) -> bool:
        """Return whether the server may get one more request."""
        if now_ms < self.ejected_until_ms:
            return False
        return n_in_flight == 0 or not self.probing

    def error_share(self, now_ms: float) -> float:
        """Return the share of errors among its answers; it fades with time.

        A server that gets no request because of it is tried again.
        """
        if not self.errors.value:
            return 0.0
        age_ms = now_ms - self._error_at_ms
        share = self.errors.value * 0.5 ** (age_ms / ERROR_HALF_LIFE_MS)
        return share if share > NEGLIGIBLE_SHARE else 0.0

    def answered(self, slow_ratio: float, now_ms: float) -> None:
        """Take in a good answer.

        Parameters
        ----------
        slow_ratio : float
            Time of the answer as a multiple of its peers' median.
        now_ms : float
        """
        self.errors.add(0.0)
        self.slow.add(min(slow_ratio, MAX_RATIO_COUNTED))
        if self.probing:
            self._probe_ended(slow_ratio <= MAX_SLOW_RATIO, now_ms)
        elif self._too_slow():
            self._eject(now_ms)

    def failed(self, now_ms: float) -> None:
        """Take in an error that the backend server is to blame for."""
        self.errors.add(1.0)
        self._error_at_ms = now_ms
        if self.probing:
            self._probe_ended(False, now_ms)
        elif self._too_many_errors():
            self._eject(now_ms)

    def _too_slow(self) -> bool:
        seen = self.slow.n_values >= MIN_TIMES_SEEN
        return seen and self.slow.value > MAX_SLOW_RATIO

    def _too_many_errors(self) -> bool:
        seen = self.errors.n_values >= MIN_ERRORS_SEEN
        return seen and self.errors.value > MAX_ERROR_SHARE

    def _probe_ended(self, good: bool, now_ms: float) -> None:
        if not good:
            self._eject(now_ms)
            return
        self._n_good_probes += 1
        if self._n_good_probes == N_PROBES_TO_RETURN:
            self._eject_ms = 0.0

    def _eject(self, now_ms: float) -> None:
        self._eject_ms = min(MAX_EJECT_MS, max(EJECT_MS, self._eject_ms * 2))
        self.ejected_until_ms = now_ms + self._eject_ms
        self._n_good_probes = 0
        self.errors.reset()
        self.slow.reset()
