"""Confines exceptions to the part of the control of engines that raised them."""

from collections.abc import Iterator
from contextlib import contextmanager

from ...kernel.logs import get_logger
from ...kernel.metrics import Metrics

__all__ = ["FailureBarrier"]

# Shortest time between two logs of failures in the same part for the same subject. A
# round that fails is repeated many times a second, with the same traceback.
LOG_INTERVAL_MS = 5_000.0


class FailureBarrier:
    """Logs and counts exceptions, so that other services and the log go on.

    Parameters
    ----------
    metrics : Metrics
    """

    def __init__(self, metrics: Metrics):
        self._metrics = metrics
        # Time of the last log by part and subject.
        self._logged_ms: dict[tuple[str, str], float] = {}

    @contextmanager
    def confine(self, part: str, subject: str, now_ms: float) -> Iterator[None]:
        """Let no exception of the block through; cancellation passes.

        Parameters
        ----------
        part : str
            What the block does.
        subject : str
            The service or server that it concerns; empty for all.
        now_ms : float
        """
        try:
            yield
        except Exception:
            self._metrics.count("engine_control_failures_total", part=part)
            if self._is_log_due((part, subject), now_ms):
                get_logger().exception(
                    "engine_control_failed", part=part, subject=subject
                )

    def _is_log_due(self, key: tuple[str, str], now_ms: float) -> bool:
        self._logged_ms = {
            each: logged_ms
            for each, logged_ms in self._logged_ms.items()
            if now_ms < logged_ms + LOG_INTERVAL_MS
        }
        if key in self._logged_ms:
            return False
        self._logged_ms[key] = now_ms
        return True
