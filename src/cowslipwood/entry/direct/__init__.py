"""Entry with direct routes: it sends requests to backend servers without an agent."""

from ._entry import DirectEntry, DirectSettings, direct_checks
from ._headers import HeaderNames

__all__ = ["DirectEntry", "DirectSettings", "HeaderNames", "direct_checks"]
