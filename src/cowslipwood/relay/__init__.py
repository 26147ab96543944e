"""A keeper's host without a disk: leads callers to the leading keeper."""

from ._relay import run_relay

__all__ = ["run_relay"]
