"""Structured logs: one line of key=value pairs for each event, on stderr."""

import logging
import sys

import structlog

__all__ = ["configure_logs", "get_logger"]


def configure_logs(program: str, min_level: int = logging.INFO) -> None:
    """Set up structlog for this process.

    Parameters
    ----------
    program : str
        Stands on each line.
    min_level : int
        Lowest level that is written, as in the standard library's logging.
    """
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
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    _route_standard_logging(shared, renderer)
    structlog.contextvars.bind_contextvars(program=program)


def _route_standard_logging(shared: list, renderer: object) -> None:
    """Write warnings of libraries in the same form."""
    handler = logging.StreamHandler(sys.stderr)
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
