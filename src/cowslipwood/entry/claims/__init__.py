"""Requests that may run at most once, by their keys."""
