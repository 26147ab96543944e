"""The front ends. Each serves one part of the HTTP interface for callers."""

# Importing the modules registers their front ends.
from . import chat, completions, models, services  # noqa: F401
