"""Builders of customers, their keys and requests with a key."""

from typing import Any

from returns.result import Result

from cowslipwood.entry.direct._customer_keys import CustomerKeys
from cowslipwood.entry.direct._headers import HeaderNames
from cowslipwood.keeper._machine import KeeperStateMachine
from cowslipwood.kernel.codes import Failure
from cowslipwood.kernel.metrics import Metrics

from .direct_builders import build_document, route_value

# Key of the customer of `customer_value`.
KEY = "kA-7f31c0"
# Routes with and without the need for a key.
CUSTOMER_ROUTES = [
    route_value(),
    route_value(name="r2", path_prefix="/free/", needs_no_key=True),
]


def customer_value(**changes: Any) -> dict[str, Any]:
    """Return a customer as JSON."""
    return {"name": "alder", "keys": [KEY], **changes}


def build_customer_document(*customers: dict[str, Any], version: int = 1) -> Any:
    """Return a parsed document with customers, by default with one."""
    return build_document(
        version=version,
        routes=CUSTOMER_ROUTES,
        customers=list(customers) or [customer_value()],
    )


def build_customer_keys(document: Any, **options: Any) -> CustomerKeys:
    """Return the keys of a document in force."""
    keys = CustomerKeys(HeaderNames(), Metrics("entry"), **options)
    keys.apply_document(document)
    return keys


def key_headers(*keys: str) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request with these keys."""
    return [
        (b"host", b"shop.example"),
        (b"x-request-id", b"q1"),
        *((HeaderNames().key, key.encode()) for key in keys),
    ]


class AppliedLog:
    """A log of one keeper, which applies each command when it is proposed.

    Attributes
    ----------
    machine : KeeperStateMachine
    """

    leader_addr = ""

    def __init__(self):
        self.machine = KeeperStateMachine()
        self._n_commands = 0

    def can_act_as_leader(self, now_ms: float) -> bool:
        """Return True, as no other keeper leads."""
        return True

    async def propose(self, command: bytes) -> Result[Any, Failure]:
        """Apply a command."""
        self._n_commands += 1
        return self.machine.apply(self._n_commands, command)

    def restore(self) -> None:
        """Go on with the state that a snapshot restores."""
        restored = KeeperStateMachine()
        restored.restore(self.machine.snapshot())
        self.machine = restored
