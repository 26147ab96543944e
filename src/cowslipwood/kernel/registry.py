"""The plug-in registry.

A plug-in module registers its class or function under a kind and a name; a
program imports the plug-in modules it ships and looks them up by name.
"""

import enum
from collections.abc import Callable
from typing import Any

__all__ = ["PluginKind", "lookup", "plugin_names", "register"]


class PluginKind(enum.StrEnum):
    """The kinds of plug-in that the kernel knows."""

    ENGINE_DIALECT = "engine-dialect"
    SERVICE_DIALECT = "service-dialect"
    STORE_DIALECT = "store-dialect"
    PLATFORM_DIALECT = "platform-dialect"
    ROUTING_POLICY = "routing-policy"
    PLACEMENT_POLICY = "placement-policy"
    FRONT_END = "front-end"


_PLUGINS: dict[tuple[PluginKind, str], Any] = {}


def register(kind: PluginKind, name: str) -> Callable[[Any], Any]:
    """Return a decorator that registers a plug-in.

    Raises
    ------
    ValueError
        When another plug-in holds the same kind and name.
    """

    def decorate(plugin: Any) -> Any:
        held = _PLUGINS.setdefault((kind, name), plugin)
        if held is not plugin:
            raise ValueError(f"plug-in {kind} {name!r} is registered already")
        return plugin

    return decorate


def lookup(kind: PluginKind, name: str) -> Any:
    """Return the plug-in of that kind and name.

    Raises
    ------
    KeyError
        When there is none; the message lists the names that there are.
    """
    try:
        return _PLUGINS[kind, name]
    except KeyError:
        known = ", ".join(plugin_names(kind))
        raise KeyError(f"no {kind} named {name!r}; known: {known}") from None


def plugin_names(kind: PluginKind) -> list[str]:
    """Return the sorted names of the registered plug-ins of a kind."""
    return sorted(name for held, name in _PLUGINS if held == kind)
