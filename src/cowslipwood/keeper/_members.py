"""Operators' questions about the keepers, and the replacement of one."""

from typing import Any, NamedTuple

import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.channel import as_refused
from ..kernel.codes import Code, Failure, failure
from ..kernel.messages import OperatorReply, OperatorRequest
from ..kernel.settings import parse_address
from ..replication import LogReplica

__all__ = ["MEMBER_OPS", "answer_members", "parse_peers"]

MEMBER_OPS = ("members", "replace-member")


class _Replacement(NamedTuple):
    old: str
    new_name: str
    new_addr: str


def parse_peers(text: str) -> dict[str, str]:
    """Return ``ip:port`` by name from ``name=ip:port,...``.

    Raises
    ------
    ValueError
        When a part is not ``name=ip:port``, or a name stands twice.
    """
    peers: dict[str, str] = {}
    for part in text.split(",") if text else []:
        name, _, addr = part.strip().partition("=")
        parse_address(addr)
        if not name or name in peers:
            raise ValueError(f"expected name=ip:port once for each, got {part!r}")
        peers[name] = addr
    return peers


async def answer_members(
    replica: LogReplica, request: OperatorRequest, revision: int
) -> Any:
    """Answer the operations in ``MEMBER_OPS``.

    Parameters
    ----------
    replica : LogReplica
    request : OperatorRequest
        The body of ``replace-member`` is ``{"old": name or identity,
        "new": "name=ip:port"}``.
    revision : int
        Revision of the catalogue, for the reply.
    """
    if request.op == "replace-member":
        parsed = _parse_replacement(request.body)
        if isinstance(parsed, Err):
            return as_refused(parsed.failure())
        replaced = await replica.replace_member(*parsed.unwrap())
        if isinstance(replaced, Err):
            return as_refused(replaced.failure(), replica.leader_addr)
    value = {"term": replica.term, "leader": replica.leader_addr}
    value["members"] = [
        {
            "name": member.name,
            "replica_id": member.replica_id,
            "addr": member.addr,
            "voter": member.voter,
        }
        for member in replica.members
    ]
    return OperatorReply(orjson.dumps(value), revision)


def _parse_replacement(body: bytes) -> Result[_Replacement, Failure]:
    try:
        value = orjson.loads(body)
        ((new_name, new_addr),) = parse_peers(value["new"]).items()
        old = value["old"]
    except (ValueError, KeyError, TypeError, AttributeError):
        wrong = 'expected {"old": name, "new": "name=ip:port"}'
        return Err(failure(Code.BAD_VALUE, wrong))
    if not isinstance(old, str) or not old:
        return Err(failure(Code.BAD_VALUE, "old: expected a keeper's name"))
    return Success(_Replacement(old, new_name, new_addr))
