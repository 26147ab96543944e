"""Entry with direct routes: it sends requests to backend servers without an agent."""

from ._end_check import ServerSign, ask_by_connection
from ._entry import DIRECT_SETTING_CHECKS, DirectEntry, DirectSettings
from ._headers import HeaderNames
from ._stopping import RunFinder

__all__ = [
    "DIRECT_SETTING_CHECKS",
    "DirectEntry",
    "DirectSettings",
    "HeaderNames",
    "RunFinder",
    "ServerSign",
    "ask_by_connection",
]
