"""The front ends: each serves one kind of request that callers make."""

from . import chat, completions, models, services  # noqa: F401
