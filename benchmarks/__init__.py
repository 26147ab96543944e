"""Benchmarks and experiments; run each as ``python -m benchmarks.NAME``."""
