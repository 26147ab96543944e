"""Requests that may run at most once: their keys, claims and attempts."""
