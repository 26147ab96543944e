"""Addresses at which a process looks for the keepers."""

from .logs import get_logger

__all__ = ["KeeperAddresses"]


class KeeperAddresses:
    """Addresses of the keepers from all sources, in the order in which to try them.

    All parts of a process that connect to keepers share one instance, so that a reload
    of the settings or a change of the members reaches each of them.

    Parameters
    ----------
    configured : tuple of str
        ``ip:port`` of each keeper or relay that the settings name.
    own_addr : str
        ``ip:port`` of the keeper in this process, which is tried first; empty for none.
    """

    def __init__(self, configured: tuple[str, ...], own_addr: str = ""):
        self._configured = configured
        self._own = (own_addr,) if own_addr else ()
        self._members: tuple[str, ...] = ()

    @classmethod
    def parse(cls, text: str, own_addr: str = "") -> "KeeperAddresses":
        """Return the addresses in a setting, which separates them by commas."""
        return cls(_split(text), own_addr)

    @property
    def configured(self) -> tuple[str, ...]:
        """The addresses in the newest settings."""
        return self._configured

    def set_configured(self, text: str) -> None:
        """Replace the configured addresses after a reload of the settings."""
        configured = _split(text)
        if configured != self._configured:
            get_logger().info("keepers_configured", keepers=text)
            self._configured = configured

    def set_members(self, addrs: tuple[str, ...]) -> None:
        """Set the members' addresses, as the log or a keeper has named them."""
        if addrs != self._members:
            get_logger().info("keepers_known", members=",".join(addrs))
            self._members = addrs

    def list_in_order(self) -> tuple[str, ...]:
        """Return all addresses, each once.

        Members come before configured addresses, which may belong to relays that know
        no keeper. The configured ones are kept: all members may have been replaced
        since they were named.
        """
        return tuple(dict.fromkeys((*self._own, *self._members, *self._configured)))


def _split(text: str) -> tuple[str, ...]:
    return tuple(addr for addr in text.split(",") if addr)
