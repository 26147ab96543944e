"""Measures latency and demand."""
