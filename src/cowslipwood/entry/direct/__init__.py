"""Routes to backend servers that the entry reaches without an agent."""

from ._entry import DirectEntry, DirectSettings, ListSource, direct_checks
from ._headers import HeaderNames
from ._servers import ListedModel, ListedServer

__all__ = [
    "DirectEntry",
    "DirectSettings",
    "HeaderNames",
    "ListSource",
    "ListedModel",
    "ListedServer",
    "direct_checks",
]
