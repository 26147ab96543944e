"""Model of entries and servers, which some prompts or requests end, one by one."""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from cowslipwood.crash_evidence import REQUEST_MARK
from cowslipwood.entry.direct._part_guard import PartGuard
from cowslipwood.keeper._evidence import EvidenceRelay
from cowslipwood.kernel.messages import ServerView
from cowslipwood.kernel.metrics import Metrics

# Part that every prompt begins with, sound and bad ones alike.
FIRST_PART = "first"
# Mark of the request that ends servers; its prompt has sound parts only.
BAD_REQUEST = f"{REQUEST_MARK}bad"


class ModelSettings(NamedTuple):
    """What the model plays.

    Parameters
    ----------
    n_entries, n_servers : int
    n_bad_parts : int
        Number of parts that end servers.
    n_subjects : int
        Number of sound parts after the first; a few are in most prompts.
    requests_per_s, bad_per_s : float
        Arrivals of sound requests, and of requests with each bad part.
    bad_request_per_s : float
        Arrivals of the one request that ends servers.
    message_ms : float
        Longest time that a message between an entry and the leader takes.
    crash_interval_s : float
        Mean time between two ends of servers that have other causes.
    leader_change_s : float
        Time between two losses of the leader and of what it knows.
    duration_s : float
    shares_evidence : bool
        Whether what entries send reaches the leader.
    """

    n_entries: int = 8
    n_servers: int = 9
    n_bad_parts: int = 1
    n_subjects: int = 200
    requests_per_s: float = 40.0
    bad_per_s: float = 3.0
    bad_request_per_s: float = 0.0
    message_ms: float = 300.0
    crash_interval_s: float = 10.0
    leader_change_s: float = 17.0
    duration_s: float = 60.0
    shares_evidence: bool = True


class ModelResult(NamedTuple):
    """What the model counted.

    Parameters
    ----------
    n_ended : dict of str to int
        Servers that ended under each bad part, or under the bad request.
    n_sent_late : dict of str to int
        Requests with each bad part sent to servers more than 3 s after the fifth end,
        and the bad request's sendings more than 3 s after the third.
    n_sound, n_sound_refused : int
        Sound requests, and those of them that were refused.
    n_messages, n_message_parts : int
        Messages between entries and leader, and the parts that they named.
    """

    n_ended: dict[str, int]
    n_sent_late: dict[str, int]
    n_sound: int
    n_sound_refused: int
    n_messages: int
    n_message_parts: int


class _Run(NamedTuple):
    """A request at a server."""

    entry: int
    parts: tuple[str, ...]
    has_begun: bool
    mark: str
    is_repeat: bool = False


class CrashModel:
    """A seeded run in model time."""

    # Time, in milliseconds, from the fifth end until every entry must refuse.
    CONTACT_MS = 3_000.0

    def __init__(self, settings: ModelSettings, seed: int):
        self._settings = settings
        self._rng = random.Random(seed)
        self._now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], Any]]] = []
        self._order = itertools.count()
        self._relay = EvidenceRelay()
        self._sent_revisions = [0] * settings.n_entries
        self._is_leader_up = True
        self._guards = [
            PartGuard(Metrics("entry"), _always_gone) for _ in range(settings.n_entries)
        ]
        self._runs: dict[str, dict[int, _Run]] = {}
        self._n_servers_started = 0
        self._ended_at_ms: dict[str, list[float]] = {}
        self._n_sent_late: dict[str, int] = {}
        self._n_sound = self._n_refused = self._n_messages = self._n_parts = 0

    async def run(self) -> ModelResult:
        """Play the run to its end."""
        settings = self._settings
        for _ in range(settings.n_servers):
            self._start_server()
        self._arrive_sound()
        bad_parts = [f"bad{i}" for i in range(settings.n_bad_parts)]
        for part in bad_parts:
            self._ended_at_ms[part], self._n_sent_late[part] = [], 0
            self._after(5_000.0, lambda part=part: self._arrive_bad(part))
        if settings.bad_request_per_s:
            self._ended_at_ms[BAD_REQUEST], self._n_sent_late[BAD_REQUEST] = [], 0
            self._after(5_000.0, self._arrive_bad_request)
        self._after(self._draw_ms(settings.crash_interval_s), self._crash_any)
        self._after(1000 * settings.leader_change_s, self._lose_leader)
        while self._events and self._now_ms < 1000 * settings.duration_s:
            self._now_ms, _, act = heapq.heappop(self._events)
            result = act()
            if result is not None:
                await result
            self._exchange_news()
        return ModelResult(
            {part: len(times) for part, times in self._ended_at_ms.items()},
            self._n_sent_late,
            self._n_sound,
            self._n_refused,
            self._n_messages,
            self._n_parts,
        )

    def _after(self, delay_ms: float, act: Callable[[], Any]) -> None:
        heapq.heappush(self._events, (self._now_ms + delay_ms, next(self._order), act))

    def _draw_ms(self, mean_s: float) -> float:
        return 1000 * self._rng.expovariate(1 / mean_s)

    def _start_server(self) -> None:
        self._n_servers_started += 1
        self._runs[f"s{self._n_servers_started}"] = {}

    def _arrive_sound(self) -> None:
        self._n_sound += 1
        if not self._send(self._draw_parts(), ""):
            self._n_refused += 1
        self._after(
            self._draw_ms(1 / self._settings.requests_per_s), self._arrive_sound
        )

    def _arrive_bad(self, part: str) -> None:
        parts = list(self._draw_parts())
        parts.insert(self._rng.randrange(len(parts) + 1), part)
        self._send(tuple(parts), part)
        self._after(
            self._draw_ms(1 / self._settings.bad_per_s), lambda: self._arrive_bad(part)
        )

    def _arrive_bad_request(self) -> None:
        self._send(self._draw_parts(), BAD_REQUEST)
        self._after(
            self._draw_ms(1 / self._settings.bad_request_per_s),
            self._arrive_bad_request,
        )

    def _draw_parts(self) -> tuple[str, ...]:
        """Return a prompt's shared parts; low numbers are frequent."""
        subject = int(self._settings.n_subjects * self._rng.random() ** 3)
        return (FIRST_PART, f"group{subject % 7}", f"subject{subject}")

    def _send(
        self, parts: tuple[str, ...], bad_part: str, repeated_mark: str = ""
    ) -> bool:
        """Send a request from any entry to any server; return False if refused."""
        entry = self._rng.randrange(self._settings.n_entries)
        is_bad_request = bad_part == BAD_REQUEST
        own_mark = f"{REQUEST_MARK}{next(self._order)}"
        mark = BAD_REQUEST if is_bad_request else repeated_mark or own_mark
        if self._guards[entry].check((*parts, mark), self._now_ms) is not None:
            return False
        if not self._runs:
            return True
        ended_at_ms = self._ended_at_ms.get(bad_part, [])
        n_allowed = 3 if is_bad_request else 5
        if (
            len(ended_at_ms) >= n_allowed
            and self._now_ms > ended_at_ms[n_allowed - 1] + self.CONTACT_MS
        ):
            self._n_sent_late[bad_part] += 1
        server_id = self._rng.choice(sorted(self._runs))
        run_id = next(self._order)
        self._runs[server_id][run_id] = _Run(
            entry, parts, False, mark, bool(repeated_mark)
        )
        self._after(
            self._rng.uniform(20.0, 400.0),
            lambda: self._begin(server_id, run_id, bad_part),
        )
        return True

    def _begin(self, server_id: str, run_id: int, bad_part: str) -> Any:
        run = self._runs.get(server_id, {}).get(run_id)
        if run is None:
            return None
        self._runs[server_id][run_id] = run._replace(has_begun=True)
        if bad_part:
            self._ended_at_ms[bad_part].append(self._now_ms)
            return self._end_server(server_id)
        # The first event follows a few milliseconds after the head.
        self._after(5.0, lambda: self._stream(server_id, run_id))
        return None

    def _stream(self, server_id: str, run_id: int) -> None:
        run = self._runs.get(server_id, {}).pop(run_id, None)
        if run is not None:
            self._after(
                self._rng.uniform(200.0, 1_500.0),
                lambda: self._complete(server_id, run),
            )

    def _complete(self, server_id: str, run: _Run) -> None:
        if server_id in self._runs:
            guard = self._guards[run.entry]
            guard.record_complete(run.parts, self._now_ms)
            if guard.accuses_requests:
                guard.record_complete((run.mark,), self._now_ms)

    async def _end_server(self, server_id: str) -> None:
        view = _build_view(server_id)
        for run in self._runs.pop(server_id).values():
            await self._guards[run.entry].record_break(
                view, run.parts, run.has_begun, self._now_ms, run.mark
            )
            if not self._is_bad(run) and not run.is_repeat:
                self._n_sound += 1
                if not self._send(run.parts, "", run.mark):
                    self._n_refused += 1
        self._after(self._rng.uniform(2_000.0, 4_000.0), self._start_server)

    def _is_bad(self, run: _Run) -> bool:
        return run.mark == BAD_REQUEST or any(p in self._ended_at_ms for p in run.parts)

    async def _crash_any(self) -> None:
        """End one server, or two at the same moment, for another cause."""
        for _ in range(self._rng.choice((1, 1, 2))):
            if len(self._runs) > 1:
                await self._end_server(self._rng.choice(sorted(self._runs)))
        self._after(self._draw_ms(self._settings.crash_interval_s), self._crash_any)

    def _lose_leader(self) -> None:
        """Lose the leader with all that it knows; the next one leads after a second."""
        self._is_leader_up = False
        self._after(1_000.0, self._elect_leader)
        self._after(1000 * self._settings.leader_change_s, self._lose_leader)

    def _elect_leader(self) -> None:
        self._is_leader_up = True
        self._relay = EvidenceRelay()
        self._sent_revisions = [0] * self._settings.n_entries
        for guard in self._guards:
            evidence = guard.build_all(self._now_ms)
            if evidence is not None:
                self._send_to_leader(evidence, self._relay)

    def _exchange_news(self) -> None:
        """Send each entry's news to the leader; without a leader they are lost."""
        for guard in self._guards:
            if guard.has_news.is_set():
                news = guard.take_news(self._now_ms)
                if news is not None and self._is_leader_up:
                    self._send_to_leader(news, self._relay)

    def _send_to_leader(self, message: Any, relay: EvidenceRelay) -> None:
        self._count(message)
        self._after(self._draw_message_ms(), lambda: self._receive(message, relay))

    def _receive(self, message: Any, relay: EvidenceRelay) -> None:
        if relay is not self._relay or not self._settings.shares_evidence:
            return
        if not relay.add(message, self._now_ms):
            return
        for entry in range(self._settings.n_entries):
            update = relay.build_update(self._sent_revisions[entry], self._now_ms)
            self._sent_revisions[entry] = relay.revision
            self._count(update)
            self._after(
                self._draw_message_ms(),
                lambda entry=entry, update=update: self._guards[entry].apply_evidence(
                    update, self._now_ms
                ),
            )

    def _draw_message_ms(self) -> float:
        return self._rng.uniform(1.0, self._settings.message_ms)

    def _count(self, message: Any) -> None:
        self._n_messages += 1
        self._n_parts += len(message.cleared_parts) + sum(
            len(end.begun_parts) + len(end.awaited_parts) for end in message.ends
        )


async def _always_gone(addr: str) -> bool:
    return True


def _build_view(server_id: str) -> ServerView:
    return ServerView(
        server_id=server_id,
        incarnation="1",
        zone="z",
        http_addr="",
        kind="engine",
        service_name="llm",
        leaving=False,
        ready=(),
        n_in_flight=0,
        n_queued=0,
        wait_ms=0.0,
        knee_in_flight=8,
    )
