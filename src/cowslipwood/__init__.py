"""Serves many language models and adapters on fewer accelerators."""

__all__ = ["__version__"]

__version__ = "0.1.0"
