"""Entry with direct routes: it sends requests to backend servers without an agent."""

from ._entry import DIRECT_SETTING_CHECKS, DirectEntry, DirectSettings
from ._headers import HeaderNames
from ._server_reports import ServerReports, ServerSign, ask_by_connection

__all__ = [
    "DIRECT_SETTING_CHECKS",
    "DirectEntry",
    "DirectSettings",
    "HeaderNames",
    "ServerReports",
    "ServerSign",
    "ask_by_connection",
]
