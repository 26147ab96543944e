"""The plug-in registry.

A plug-in module registers its class or function under a kind and a name. A program
imports the plug-in modules that it offers and looks the plug-ins up by name.
"""

import enum
from collections.abc import Callable
from typing import Any

__all__ = ["PluginKind", "lookup", "plugin_names", "register"]


class PluginKind(enum.StrEnum):
    """The kinds of plug-in; each is an interface that plug-ins implement."""

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
        When another plug-in is registered under the same kind and name.
    """

    def decorate(plugin: Any) -> Any:
        registered = _PLUGINS.setdefault((kind, name), plugin)
        if registered is not plugin:
            raise ValueError(f"plug-in {kind} {name!r} is registered already")
        return plugin

    return decorate


def lookup(kind: PluginKind, name: str) -> Any:
    """Return the plug-in that is registered under a kind and a name.

    Raises
    ------
    KeyError
        When there is none; the message lists the registered names.
    """
    try:
        return _PLUGINS[kind, name]
    except KeyError:
        known = ", ".join(plugin_names(kind))
        raise KeyError(f"no {kind} named {name!r}; known: {known}") from None


def plugin_names(kind: PluginKind) -> list[str]:
    """Return the sorted names of the registered plug-ins of a kind."""
    return sorted(name for known_kind, name in _PLUGINS if known_kind == kind)
