"""Sets up structured logs: one line of key=value pairs for each event."""

import logging
import os
import sys
import time
from typing import TextIO

import structlog

__all__ = ["BoundedOutput", "bounded_stdout", "configure_logs", "get_logger"]


# Largest number of log lines that a daemon writes in a second; further lines are
# dropped and counted. A busy entry logs far fewer decisions than that.
MAX_LINES_PER_S = 400


class BoundedOutput:
    """Writes lines to a file descriptor without ever blocking on its reader.

    Lines over the limit, and lines for which a pipe has no room, are dropped. The
    next line that is written is preceded by one that states their number.

    Parameters
    ----------
    descriptor : int
        File descriptor, already set to non-blocking.
    max_lines_per_s : int
        Largest number of lines that are written in a second.
    """

    def __init__(self, descriptor: int, max_lines_per_s: int = MAX_LINES_PER_S):
        self._descriptor = descriptor
        self._max_lines_per_s = max_lines_per_s
        self._current_second = 0
        self._n_lines = 0
        self._n_dropped = 0
        self._unwritten = b""

    def write(self, text: str) -> int:
        """Write one line or drop it; return its length in either case."""
        current_second = int(time.monotonic())
        if current_second != self._current_second:
            self._current_second, self._n_lines = current_second, 0
        if self._n_lines >= self._max_lines_per_s:
            self._n_dropped += 1
            return len(text)
        self._n_lines += 1
        data = text.encode(errors="replace")
        if self._n_dropped:
            data = (
                f"level=warning event=log_lines_dropped n={self._n_dropped}\n".encode()
                + data
            )
        if self._write_bytes(data):
            self._n_dropped = 0
        else:
            self._n_dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing, as each line is written at once."""

    def _write_bytes(self, data: bytes) -> bool:
        """Write what is left of a partly written line, then the data.

        Returns
        -------
        bool
            False when nothing was written.
        """
        data = self._unwritten + data
        try:
            n_written = os.write(self._descriptor, data)
        except BlockingIOError:
            return False
        except OSError:
            return False  # the log's reader has ended; the daemon continues
        self._unwritten = data[n_written:] if n_written < len(data) else b""
        return True


def bounded_stdout() -> BoundedOutput:
    """Set standard output to non-blocking and return it as a `BoundedOutput`."""
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
        The program's name, which is added to each line.
    min_level : int
        Lowest level that is written; a level of the standard library's logging.
    output : file or BoundedOutput, optional
        Where lines are written. The default is standard error, for commands that
        print their results on standard output; daemons pass `bounded_stdout`.
    """
    output = output or sys.stderr
    shared_processors = [
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
        processors=[*shared_processors, renderer],
        logger_factory=structlog.WriteLoggerFactory(output),
        cache_logger_on_first_use=True,
    )
    _route_standard_logging(shared_processors, renderer, output)
    structlog.contextvars.bind_contextvars(program=program)


def _route_standard_logging(
    shared_processors: list, renderer: object, output: TextIO | BoundedOutput
) -> None:
    """Write the warnings that libraries log in the same format."""
    handler = logging.StreamHandler(output)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared_processors,
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
