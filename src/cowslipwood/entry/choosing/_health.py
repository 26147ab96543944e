"""Outlier detection: ejects a failing or slow backend server and probes it again."""

from ._ewma import Ewma

__all__ = ["Health"]

# Weight of the newest answer in the share of errors, from 0 to 1.
ERROR_SHARE_WEIGHT = 0.15
# Weight of the newest answer in the mean slow ratio, from 0 to 1. The slow ratio is
# the time of an answer as a multiple of the median for the same key.
SLOW_RATIO_WEIGHT = 0.1
# Time in milliseconds after which the share of errors counts for half.
ERROR_HALF_LIFE_MS = 5_000.0
# Share of errors that counts as none.
NEGLIGIBLE_ERROR_SHARE = 0.01
# Share of errors above which a server is ejected.
MAX_ERROR_SHARE = 0.4
# Mean slow ratio above which a server is ejected; a probe above it fails.
MAX_SLOW_RATIO = 3.0
# Bound on the slow ratio of one answer, so that a single very late answer does not
# eject a server.
MAX_COUNTED_SLOW_RATIO = 6.0
# Answers and errors needed before the share of errors can eject a server.
N_ANSWERS_TO_JUDGE_ERRORS = 4
# Answers needed before the mean slow ratio can eject a server.
N_ANSWERS_TO_JUDGE_SPEED = 10
# Duration of the first ejection in milliseconds.
MIN_EJECTION_MS = 1_000.0
# Bound in milliseconds on the duration of an ejection; it doubles each time.
MAX_EJECTION_MS = 30_000.0
# Successful probes after which an ejected server gets requests as before.
N_PROBES_TO_RETURN = 3


class Health:
    """The errors and the relative speed of one backend server's answers.

    A server that answers too many errors, or too slowly compared with other
    servers, is ejected: it gets no requests for a time that doubles with each
    consecutive ejection. Then it is probed with one request at a time until enough
    probes have succeeded.

    Attributes
    ----------
    ejected_until_ms : float
        End of the last ejection; 0 when there was none.
    """

    __slots__ = (
        "_ejection_ms",
        "_last_error_at_ms",
        "_n_good_probes",
        "ejected_until_ms",
        "_error_share",
        "_slow_ratio",
    )

    def __init__(self):
        self._error_share = Ewma(ERROR_SHARE_WEIGHT, from_zero=True)
        self._last_error_at_ms = 0.0
        self._slow_ratio = Ewma(SLOW_RATIO_WEIGHT)
        self.ejected_until_ms = 0.0
        self._ejection_ms = 0.0
        self._n_good_probes = 0

    @property
    def is_probing(self) -> bool:
        """Whether the server was ejected and too few probes have succeeded since."""
        return self._ejection_ms > 0 and self._n_good_probes < N_PROBES_TO_RETURN

    def allows_request(self, n_in_flight: int, now_ms: float) -> bool:
        """Return whether the server's health allows one more request."""
        if now_ms < self.ejected_until_ms:
            return False
        return n_in_flight == 0 or not self.is_probing

    def error_share(self, now_ms: float) -> float:
        """Return the share of errors among the answers.

        The share decays with time, so that a server that gets no requests because of
        it gets requests again.
        """
        if not self._error_share.value:
            return 0.0
        age_ms = now_ms - self._last_error_at_ms
        share = self._error_share.value * 0.5 ** (age_ms / ERROR_HALF_LIFE_MS)
        return share if share > NEGLIGIBLE_ERROR_SHARE else 0.0

    def record_answer(self, slow_ratio: float, now_ms: float) -> None:
        """Record an answer that is no error.

        Parameters
        ----------
        slow_ratio : float
            Time of the answer as a multiple of the median for the same key.
        now_ms : float
        """
        self._error_share.add(0.0)
        self._slow_ratio.add(min(slow_ratio, MAX_COUNTED_SLOW_RATIO))
        if self.is_probing:
            self._end_probe(slow_ratio <= MAX_SLOW_RATIO, now_ms)
        elif self._is_too_slow():
            self._eject(now_ms)

    def record_error(self, now_ms: float) -> None:
        """Record an error that the backend server caused."""
        self._error_share.add(1.0)
        self._last_error_at_ms = now_ms
        if self.is_probing:
            self._end_probe(False, now_ms)
        elif self._has_too_many_errors():
            self._eject(now_ms)

    def _is_too_slow(self) -> bool:
        is_judged = self._slow_ratio.n_values >= N_ANSWERS_TO_JUDGE_SPEED
        return is_judged and self._slow_ratio.value > MAX_SLOW_RATIO

    def _has_too_many_errors(self) -> bool:
        is_judged = self._error_share.n_values >= N_ANSWERS_TO_JUDGE_ERRORS
        return is_judged and self._error_share.value > MAX_ERROR_SHARE

    def _end_probe(self, is_good: bool, now_ms: float) -> None:
        if not is_good:
            self._eject(now_ms)
            return
        self._n_good_probes += 1
        if self._n_good_probes == N_PROBES_TO_RETURN:
            self._ejection_ms = 0.0

    def _eject(self, now_ms: float) -> None:
        self._ejection_ms = min(
            MAX_EJECTION_MS, max(MIN_EJECTION_MS, self._ejection_ms * 2)
        )
        self.ejected_until_ms = now_ms + self._ejection_ms
        self._n_good_probes = 0
        self._error_share.reset()
        self._slow_ratio.reset()
