"""Operators' requests to list the keepers and to replace one of them."""

from typing import Any

import orjson
from returns.result import Failure as Err
from returns.result import Result

from ..kernel.channel import to_refused
from ..kernel.codes import Code, Failure, failure
from ..kernel.messages import OperatorReply, OperatorRequest
from ..kernel.settings import parse_address
from ..replication import LogReplica

__all__ = ["MEMBER_OPS", "answer_member_request", "parse_peers"]

# Operations of an `OperatorRequest` that `answer_member_request` answers.
MEMBER_OPS = ("members", "replace-member")


def parse_peers(text: str) -> dict[str, str]:
    """Return ``ip:port`` by name from ``name=ip:port,...``.

    Raises
    ------
    ValueError
        When a part is not ``name=ip:port``, or a name occurs twice.
    """
    peers: dict[str, str] = {}
    for part in text.split(",") if text else []:
        name, _, addr = part.strip().partition("=")
        parse_address(addr)
        if not name or name in peers:
            raise ValueError(f"expected name=ip:port with unique names, got {part!r}")
        peers[name] = addr
    return peers


async def answer_member_request(
    replica: LogReplica, request: OperatorRequest, revision: int
) -> Any:
    """Answer the operations in ``MEMBER_OPS``.

    Parameters
    ----------
    replica : LogReplica
    request : OperatorRequest
        For ``replace-member``, `name` is the name or identity of the replaced
        keeper and `body` is its successor as ``name=ip:port``.
    revision : int
        Revision of the catalogue, which the reply holds.
    """
    if request.op == "replace-member":
        replaced = await _replace_member(replica, request)
        if isinstance(replaced, Err):
            return to_refused(replaced.failure(), replica.leader_addr)
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


async def _replace_member(
    replica: LogReplica, request: OperatorRequest
) -> Result[Any, Failure]:
    try:
        ((new_name, new_addr),) = parse_peers(request.body.decode()).items()
    except ValueError:
        message = "expected the new keeper as name=ip:port"
        return Err(failure(Code.BAD_VALUE, message))
    return await replica.replace_member(request.name, new_name, new_addr)
