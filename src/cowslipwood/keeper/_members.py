"""Operators' questions about the keepers, and the replacement of one."""

from typing import Any

import orjson
from returns.result import Failure as Err
from returns.result import Result

from ..kernel.channel import as_refused
from ..kernel.codes import Code, Failure, failure
from ..kernel.messages import OperatorReply, OperatorRequest
from ..kernel.settings import parse_address
from ..replication import LogReplica

__all__ = ["MEMBER_OPS", "answer_members", "parse_peers"]

MEMBER_OPS = ("members", "replace-member")


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
        For ``replace-member``, `name` is the name or identity of the keeper
        that leaves and `body` its successor as ``name=ip:port``.
    revision : int
        Revision of the catalogue, for the reply.
    """
    if request.op == "replace-member":
        replaced = await _replace(replica, request)
        if isinstance(replaced, Err):
            return as_refused(replaced.failure(), replica.leader_addr)
    value = {
        "term": replica.term,
        "leader": replica.leader_addr,
        "revision": revision,
        "members": [
            {
                "name": member.name,
                "replica_id": member.replica_id,
                "addr": member.addr,
                "voter": member.voter,
            }
            for member in replica.members
        ],
    }
    return OperatorReply(orjson.dumps(value), revision)


async def _replace(
    replica: LogReplica, request: OperatorRequest
) -> Result[Any, Failure]:
    try:
        ((new_name, new_addr),) = parse_peers(request.body.decode()).items()
    except ValueError:
        wrong = "expected the new keeper as name=ip:port"
        return Err(failure(Code.BAD_VALUE, wrong))
    return await replica.replace_member(request.name, new_name, new_addr)
