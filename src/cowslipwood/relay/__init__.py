"""Relay: a host without a disk that refers connecting processes to the leader."""

from ._relay import run_relay

__all__ = ["run_relay"]
