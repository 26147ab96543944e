"""Asks an agent how an attempt ended; the agent voids one that has not begun."""

import httpcore
from returns.result import Failure as Err
from returns.result import Result

from ...kernel.codes import Code, Failure, failure
from ...kernel.messages import AttemptEnd, AttemptQuery
from ...kernel.wire import decode_record, encode_record

__all__ = ["AttemptClient"]

# Longest time to connect to an agent, in milliseconds.
CONNECT_TIMEOUT_MS = 1_000
# Milliseconds that an agent may take to answer beyond the time that the query lets
# it wait; also the limit for sending the query and for getting a connection.
ANSWER_TIMEOUT_MS = 2_000


class AttemptClient:
    """Keeps connections to agents for queries about attempts.

    Parameters
    ----------
    cluster_token : str
    """

    def __init__(self, cluster_token: str):
        self._auth_headers = (
            {"authorization": f"Bearer {cluster_token}"} if cluster_token else {}
        )
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=1024, max_keepalive_connections=64
        )

    async def query(
        self, agent_addr: str, query: AttemptQuery
    ) -> Result[AttemptEnd, Failure]:
        """Return how an attempt ended.

        Fails with PEER_GONE when the agent did not answer or refused to; how the
        attempt ended is then still unknown.
        """
        read_timeout_ms = query.void_after_ms + query.wait_ms + ANSWER_TIMEOUT_MS
        headers = {
            "host": agent_addr,
            **self._auth_headers,
            "x-cowslip-server": query.server_id,
        }
        try:
            response = await self._pool.request(
                "POST",
                f"http://{agent_addr}/attempts/void",
                headers=list(headers.items()),
                content=encode_record(query),
                extensions={
                    "timeout": {
                        "connect": CONNECT_TIMEOUT_MS / 1000,
                        "read": read_timeout_ms / 1000,
                        "write": ANSWER_TIMEOUT_MS / 1000,
                        "pool": ANSWER_TIMEOUT_MS / 1000,
                    }
                },
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            return Err(failure(Code.PEER_GONE, "the agent cannot be reached"))
        if response.status != 200:
            return Err(failure(Code.PEER_GONE, "the agent cannot tell"))
        return decode_record(AttemptEnd, response.content)
