"""Entry with direct routes: it sends requests to backend servers without an agent."""

from ._entry import DIRECT_SETTING_CHECKS, DirectEntry, DirectSettings
from ._headers import HeaderNames
from ._stopping import RunFinder

__all__ = [
    "DIRECT_SETTING_CHECKS",
    "DirectEntry",
    "DirectSettings",
    "HeaderNames",
    "RunFinder",
]
