"""Structured logs: one line of key=value pairs for each event."""

import logging
import os
import sys
import time
from typing import TextIO

import structlog

__all__ = ["BoundedOutput", "bounded_stdout", "configure_logs", "get_logger"]


# Lines a second that a daemon writes at most; errors come first into the next
# second, and what was left out is counted. Far above a busy entry's decisions.
MAX_LINES_PER_S = 400


class BoundedOutput:
    """Writes lines without ever waiting for the reader.

    Lines over the bound, and lines that a full pipe does not take, are dropped;
    the next line that is written is preceded by their number.

    Parameters
    ----------
    descriptor : int
        File descriptor, made non-blocking where it is a pipe.
    max_lines_per_s : int
    """

    def __init__(self, descriptor: int, max_lines_per_s: int = MAX_LINES_PER_S):
        self._descriptor = descriptor
        self._max_lines = max_lines_per_s
        self._second = 0
        self._n_lines = 0
        self._n_dropped = 0
        self._rest = b""

    def write(self, text: str) -> int:
        """Write one line, or drop it."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._n_lines = second, 0
        if self._n_lines >= self._max_lines:
            self._n_dropped += 1
            return len(text)
        self._n_lines += 1
        data = text.encode(errors="replace")
        if self._n_dropped:
            data = (
                f"level=warning event=log_lines_dropped n={self._n_dropped}\n".encode()
                + data
            )
        if self._put(data):
            self._n_dropped = 0
        else:
            self._n_dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing; each line is written at once."""

    def _put(self, data: bytes) -> bool:
        """Write the rest of a cut line, then the data; return whether it was taken."""
        data = self._rest + data
        try:
            n_written = os.write(self._descriptor, data)
        except BlockingIOError:
            return False
        except OSError:
            return False  # nobody reads the log; the daemon goes on without it
        self._rest = data[n_written:] if n_written < len(data) else b""
        return True


def bounded_stdout() -> BoundedOutput:
    """Return standard output as a bounded one that does not block."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    return BoundedOutput(descriptor)


def configure_logs(
    program: str,
    min_level: int = logging.INFO,
    output: TextIO | BoundedOutput | None = None,
) -> None:
    """Set up structlog for this process.

    Parameters
    ----------
    program : str
        Stands on each line.
    min_level : int
        Lowest level that is written, as in the standard library's logging.
    output : file or BoundedOutput, optional
        Standard error by default, for commands that print results; daemons
        give `bounded_stdout`.
    """
    output = output or sys.stderr
    shared = [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True, key="at"),
        structlog.processors.format_exc_info,
    ]
    renderer = structlog.processors.LogfmtRenderer(
        key_order=["at", "level", "event"], bool_as_flag=False
    )
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(min_level),
        processors=[*shared, renderer],
        logger_factory=structlog.WriteLoggerFactory(output),
        cache_logger_on_first_use=True,
    )
    _route_standard_logging(shared, renderer, output)
    structlog.contextvars.bind_contextvars(program=program)


def _route_standard_logging(
    shared: list, renderer: object, output: TextIO | BoundedOutput
) -> None:
    """Write warnings of libraries in the same form."""
    handler = logging.StreamHandler(output)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared,
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                renderer,
            ],
        )
    )
    logging.basicConfig(handlers=[handler], level=logging.WARNING, force=True)


def get_logger() -> structlog.stdlib.BoundLogger:
    """Return a logger; call ``log.info("event", key=value)``."""
    return structlog.get_logger()
