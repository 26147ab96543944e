"""Measures latencies, attainment of limits, and demand."""
