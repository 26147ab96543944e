"""Clients for the soak: many callers that reuse connections and retry as allowed.

    python -m soak.clients SETTINGS

SETTINGS is the JSON form of `ClientSettings`.
"""

import json
import random
import re
import sys
import uuid
from pathlib import Path
from typing import NamedTuple

import anyio
import anyio.abc

from .customers import CUSTOMERS, make_key
from .history import HistoryWriter
from .server import N_EVENTS, make_event, split_versions
from .wire import Head, MessageReader, encode_head

__all__ = ["ClientSettings", "RequestKind"]

CONNECT_TIMEOUT_S = 1.0
# Statuses that promise that the request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Share of the requests with a key that only one version of the config has, and the
# highest such version. Runs of a few minutes have about as many versions.
VERSION_KEY_SHARE = 0.1
MAX_KEY_VERSION = 6
# Number of attempts of a client, and of one that resumes a stream.
MAX_ATTEMPTS = 2
MAX_ATTEMPTS_OF_STREAM = 4
# Least time without an event after which a client gives up a stream, in seconds.
MIN_PATIENCE_S = 2.0
# Lengths of bodies, in bytes: shorter and longer than what entries send in one write.
BODY_LENGTHS = (4, 4, 4, 20_000)
# Share of the requests whose client leaves before the end.
LEAVE_SHARE = 0.01
BROKEN_ERRORS = (
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.DelimiterNotFound,
    ValueError,
    OSError,
)


class RequestKind(NamedTuple):
    """One kind of request.

    Parameters
    ----------
    name : str
        First part of the path.
    service, model : str
        The model is empty for plain services.
    is_repeatable, is_stream : bool
    time_limit_ms : int
    target_ms, gap_target_ms : int
    """

    name: str
    service: str
    model: str
    is_repeatable: bool
    is_stream: bool
    time_limit_ms: int
    target_ms: int
    gap_target_ms: int = 150


class ClientSettings(NamedTuple):
    """Settings of a process of clients.

    Parameters
    ----------
    entries : list of str
        ``ip:port`` of each entry.
    kinds : list of RequestKind
    history : str
    seed : int
    n_callers : int
    pause_ms : float
        Mean time between two requests of one caller.
    """

    entries: list[str]
    kinds: list[RequestKind]
    history: str
    seed: int
    n_callers: int
    pause_ms: float


class _Connection:
    """A connection to an entry."""

    def __init__(self, entry: str, stream: anyio.abc.SocketStream):
        self.entry = entry
        self.stream = stream
        self.reader = MessageReader(stream)


class _Outcome(NamedTuple):
    """How one attempt ended.

    Parameters
    ----------
    status : int
        0 without an answer.
    is_whole : bool
    last_event_id : int
    retry_after_s : float
    first_event_id : int
        0 without an event.
    versions : tuple of str
        Software versions of the servers that wrote the events.
    """

    status: int
    is_whole: bool = False
    last_event_id: int = 0
    retry_after_s: float = 0.0
    first_event_id: int = 0
    versions: tuple[str, ...] = ()

    @property
    def is_served(self) -> bool:
        return self.status == 200 and self.is_whole

    @property
    def is_not_run(self) -> bool:
        return self.status in NOT_RUN_STATUSES


class _Caller:
    """Sends one request after another over a kept connection."""

    def __init__(self, settings: ClientSettings, number: int, history: HistoryWriter):
        self._settings = settings
        self._history = history
        self._rng = random.Random(f"{settings.seed}-{number}")
        self._key_rng = random.Random(f"{settings.seed}-{number}-keys")
        self._customer = CUSTOMERS[number % len(CUSTOMERS)]
        self._conn: _Connection | None = None

    async def run(self) -> None:
        while True:
            await anyio.sleep(self._rng.expovariate(1000 / self._settings.pause_ms))
            await self._make_request(self._rng.choice(self._settings.kinds))

    async def _make_request(self, kind: RequestKind) -> None:
        """Send a request, and once more if its outcome allows it."""
        first_id = uuid.UUID(int=self._rng.getrandbits(128)).hex[:16]
        headers: dict[str, object] = {}
        request_id = first_id
        begun_id = ""
        last_event_id = 0
        n_attempts = MAX_ATTEMPTS
        if kind.is_stream and kind.is_repeatable:
            n_attempts = MAX_ATTEMPTS_OF_STREAM
        for number in range(n_attempts):
            outcome = await self._attempt(kind, request_id, first_id, headers)
            if outcome.is_served or number + 1 == n_attempts:
                return
            if not (kind.is_repeatable or outcome.is_not_run):
                return
            await anyio.sleep(min(outcome.retry_after_s, kind.time_limit_ms / 3000))
            if outcome.last_event_id:
                begun_id = begun_id or request_id
                last_event_id = outcome.last_event_id
                headers = {"last-event-id": last_event_id, "resumes": begun_id}
            request_id = uuid.UUID(int=self._rng.getrandbits(128)).hex[:16]

    async def _attempt(
        self, kind: RequestKind, request_id: str, first_id: str, extra: dict
    ) -> _Outcome:
        conn = await self._connect()
        if conn is None:
            return _Outcome(0)
        body = b"x" * self._rng.choice(BODY_LENGTHS)
        key_version = 0
        if self._key_rng.random() < VERSION_KEY_SHARE:
            key_version = self._key_rng.randint(1, MAX_KEY_VERSION)
        headers = {
            "host": "soak.example",
            "request-id": request_id,
            "request-deadline": kind.time_limit_ms,
            "content-length": len(body),
            "credential": make_key(self._customer, key_version),
            **extra,
        }
        if kind.model:
            headers["model-id"] = kind.model
            headers["token-count"] = "200,40"
            headers["prompt-prefix"] = f"5c1e07a2:100,{request_id[:8]}:100"
        self._history.write(
            "sent",
            request=request_id,
            first=first_id,
            kind=kind.name,
            service=kind.service,
            customer=self._customer,
            key_version=key_version,
            repeatable=kind.is_repeatable,
            stream=kind.is_stream,
            entry=conn.entry,
            resumes=extra.get("resumes", ""),
            after=extra.get("last-event-id", 0),
            time_limit_ms=kind.time_limit_ms,
        )
        outcome = _Outcome(0)
        reason = "time_limit"
        time_limit_s = kind.time_limit_ms / 1000
        if self._rng.random() < LEAVE_SHARE:
            time_limit_s *= self._rng.random() * 0.3
        with anyio.move_on_after(time_limit_s):
            try:
                line = f"POST /{kind.name}/x HTTP/1.1"
                await conn.stream.send(encode_head(line, headers) + body)
                outcome = await self._read_answer(kind, conn, request_id, extra)
                reason = "answered"
            except BROKEN_ERRORS as exc:
                reason = type(exc).__name__
        self._history.write(
            "finished",
            request=request_id,
            status=outcome.status,
            whole=outcome.is_whole,
            first_event_id=outcome.first_event_id,
            last_event_id=outcome.last_event_id,
            versions=outcome.versions,
            reason=reason,
        )
        if not outcome.is_whole:
            await self._disconnect()
        return outcome

    async def _read_answer(
        self, kind: RequestKind, conn: _Connection, request_id: str, extra: dict
    ) -> _Outcome:
        head = await conn.reader.read_head()
        if head.headers.get("request-id") != request_id:
            self._history.write("foreign_answer", request=request_id, head=head.headers)
        retry_after_s = float(head.headers.get("retry-after") or 0)
        if not kind.is_stream or head.status != 200:
            await conn.reader.read_body(head)
            if head.headers.get("connection", "") == "close":
                await self._disconnect()
            return _Outcome(head.status, True, retry_after_s=retry_after_s)
        return await self._read_stream(kind, conn, head, request_id, extra)

    async def _read_stream(
        self,
        kind: RequestKind,
        conn: _Connection,
        head: Head,
        request_id: str,
        extra: dict,
    ) -> _Outcome:
        first = last = int(extra.get("last-event-id") or 0)
        received = b""
        patience_s = max(
            MIN_PATIENCE_S, 4 * kind.target_ms / 1000, 8 * kind.gap_target_ms / 1000
        )
        is_whole = False
        chunks = conn.reader.iterate_chunks()
        try:
            while True:
                with anyio.fail_after(patience_s):
                    received += await anext(chunks)
                last = first + received.count(b"\n\n")
        except StopAsyncIteration:
            is_whole = True
        except (TimeoutError, *BROKEN_ERRORS):
            pass
        received, versions = split_versions(received)
        expected = b"".join(make_event(n) for n in range(first + 1, N_EVENTS + 1))
        if not expected.startswith(received):
            self._history.write("wrong_stream", request=request_id, first=first)
        if is_whole and head.headers.get("connection", "") == "close":
            await self._disconnect()
        begin = re.match(rb"id: (\d+)\n", received)
        return _Outcome(
            200,
            is_whole,
            last,
            first_event_id=int(begin[1]) if begin else 0,
            versions=tuple(versions),
        )

    async def _connect(self) -> _Connection | None:
        if self._conn is not None:
            return self._conn
        entry = self._rng.choice(self._settings.entries)
        host, _, port = entry.partition(":")
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(host, int(port))
        except OSError:
            return None
        self._conn = _Connection(entry, stream)
        return self._conn

    async def _disconnect(self) -> None:
        conn, self._conn = self._conn, None
        if conn is not None:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(conn.stream)


async def _run(settings: ClientSettings) -> None:
    history = HistoryWriter(Path(settings.history))
    async with anyio.create_task_group() as tasks:
        for number in range(settings.n_callers):
            tasks.start_soon(_Caller(settings, number, history).run)


def main() -> None:
    """Run the clients that the first argument describes until killed."""
    settings = ClientSettings(**json.loads(sys.argv[1]))
    kinds = [RequestKind(*kind) for kind in settings.kinds]
    anyio.run(_run, settings._replace(kinds=kinds))


if __name__ == "__main__":
    main()
