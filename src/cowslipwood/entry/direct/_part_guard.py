"""Refuses prompts with parts, and requests, under which servers have ended."""

import math
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Iterable, Sequence

import anyio

from ...crash_evidence import (
    CLEARED_LIFE_MS,
    Block,
    CrashLedger,
    EndEvidence,
    is_request,
)
from ...kernel.codes import Code, Failure, failure
from ...kernel.logs import get_logger
from ...kernel.messages import CrashEvidence, ServerEnd, ServerView
from ...kernel.metrics import Metrics
from ...kernel.server_probe import is_server_gone

__all__ = ["PartGuard"]

# Time, in milliseconds, for which the result of such a probe holds for further answers
# of the same server. It is shorter than a server needs to start again.
PROBE_LIFE_MS = 1_000.0
# Number of parts that are remembered as parts of completed answers, the most recently
# used ones. Parts in use come again within seconds.
MAX_COMPLETED_PARTS = 20_000
# Largest number of parts that one end accuses in a message.
MAX_ACCUSED_PARTS = 128

ProbeServer = Callable[[str], Awaitable[bool]]


class PartGuard:
    """What one entry knows of parts that end servers.

    Parameters
    ----------
    metrics : Metrics
    probe_server : callable
        Returns whether the server at an address is gone; `is_server_gone`.

    Attributes
    ----------
    has_news : anyio.Event
        Set when there is evidence to send; replaced by `take_news`.
    """

    def __init__(self, metrics: Metrics, probe_server: ProbeServer = is_server_gone):
        self._metrics = metrics
        self._probe_server = probe_server
        self._ledger = CrashLedger()
        self._completed_at_ms: OrderedDict[str, float] = OrderedDict()
        self._probes: dict[str, tuple[float, bool]] = {}
        self._unsent_ends: dict[str, EndEvidence] = {}
        self._unsent_cleared: set[str] = set()
        self.has_news = anyio.Event()

    def check(self, parts: Sequence[str], now_ms: float) -> Failure | None:
        """Return the refusal of a request with these parts; None if it may run.

        Fails with PROMPT_BLOCKED or REQUEST_BLOCKED.
        """
        if not self._ledger.blocks:
            return None
        block = self._ledger.find_block(parts, now_ms)
        if block is not None and self._was_completed(block.part, now_ms):
            self._clear_accused(now_ms)
            block = self._ledger.find_block(parts, now_ms)
        if block is None:
            return None
        n_ended, left_ms = len(block.server_ids), math.ceil(block.until_ms - now_ms)
        if is_request(block.part):
            message = f"{n_ended} servers ended under {block.part}"
            return failure(Code.REQUEST_BLOCKED, message, left_ms)
        message = f"{n_ended} servers ended under prompt part {block.part}"
        return failure(Code.PROMPT_BLOCKED, message, left_ms)

    @property
    def accuses_requests(self) -> bool:
        """Whether a request is refused or may be; else marks need not be computed."""
        return self._ledger.accuses_requests

    def record_complete(self, parts: Sequence[str], now_ms: float) -> None:
        """Record that an answer to a prompt with these shared parts was completed."""
        for part in parts:
            self._completed_at_ms[part] = now_ms
            self._completed_at_ms.move_to_end(part)
        while len(self._completed_at_ms) > MAX_COMPLETED_PARTS:
            self._completed_at_ms.popitem(last=False)
        if not self._ledger.accused_parts.isdisjoint(parts):
            self._clear_accused(now_ms)

    async def record_break(
        self,
        server: ServerView,
        parts: Iterable[str],
        has_begun: bool,
        now_ms: float,
        request_mark: str = "",
    ) -> bool:
        """Record that a server broke off an answer of which no event had come.

        Parameters
        ----------
        server : ServerView
        parts : iterable of str
            Shared parts of the prompt.
        has_begun : bool
            Whether the head of the answer had come.
        now_ms : float
        request_mark : str
            Mark of the request; empty to accuse parts only.

        Returns
        -------
        bool
            Whether the request may well have ended the server: its answer had begun,
            and its prompt has a part that no completed answer had, or another server
            has ended under it before.
        """
        suspects = [part for part in parts if not self._was_completed(part, now_ms)]
        has_suspect_part = bool(suspects)
        if request_mark and not self._was_completed(request_mark, now_ms):
            suspects.insert(0, request_mark)
        if not suspects or not await self._is_gone(server, now_ms):
            return False
        found = frozenset(suspects[:MAX_ACCUSED_PARTS])
        end = EndEvidence(
            f"{server.server_id}@{server.incarnation}",
            now_ms,
            found if has_begun else frozenset(),
            frozenset() if has_begun else found,
        )
        self._metrics.count("server_ends_total", stage="begun" if has_begun else "none")
        self._apply_end(end, now_ms)
        known = self._unsent_ends.get(end.server_id, end)
        self._unsent_ends[end.server_id] = end._replace(
            begun_parts=known.begun_parts | end.begun_parts,
            awaited_parts=known.awaited_parts | end.awaited_parts,
        )
        self.has_news.set()
        # A request that waited when its server ended has most likely not ended it.
        is_likely = has_begun and has_suspect_part
        return is_likely or self._ledger.was_there_repeatedly(request_mark)

    def apply_evidence(self, evidence: CrashEvidence, now_ms: float) -> None:
        """Apply what other entries have seen."""
        before = dict(self._ledger.blocks)
        self._ledger.record_cleared(evidence.cleared_parts, now_ms)
        _log_changes(before, self._ledger.blocks)
        for end in evidence.ends:
            parts = frozenset(end.begun_parts), frozenset(end.awaited_parts)
            self._apply_end(
                EndEvidence(end.server_id, now_ms - end.age_ms, *parts), now_ms
            )

    def take_news(self, now_ms: float) -> CrashEvidence | None:
        """Return the evidence that was not sent yet; None if there is none."""
        self.has_news = anyio.Event()
        ends, self._unsent_ends = self._unsent_ends, {}
        cleared, self._unsent_cleared = self._unsent_cleared, set()
        if not ends and not cleared:
            return None
        return _build_message(ends.values(), cleared, now_ms)

    def build_all(self, now_ms: float) -> CrashEvidence | None:
        """Return all evidence, for a leader that may have none of it.

        The result is None if there is none.
        """
        ends = self._ledger.list_ends()
        if not ends:
            return None
        return _build_message(ends, self._ledger.list_cleared(), now_ms)

    def _apply_end(self, end: EndEvidence, now_ms: float) -> None:
        before = dict(self._ledger.blocks)
        if self._ledger.record_end(end, now_ms):
            get_logger().info(
                "server_ended",
                server=end.server_id,
                begun_parts=",".join(sorted(end.begun_parts)),
                awaited_parts=",".join(sorted(end.awaited_parts)),
                age_ms=round(now_ms - end.at_ms),
            )
            self._clear_accused(now_ms)
        _log_changes(before, self._ledger.blocks)
        self._metrics.gauge("blocked_parts", len(self._ledger.blocks))

    def _clear_accused(self, now_ms: float) -> None:
        """Tell the other entries which accused parts this one has seen completed."""
        cleared = [
            part
            for part in self._ledger.accused_parts
            if self._was_completed(part, now_ms)
        ]
        before = dict(self._ledger.blocks)
        if cleared and self._ledger.record_cleared(cleared, now_ms):
            self._unsent_cleared.update(cleared)
            self.has_news.set()
            _log_changes(before, self._ledger.blocks)

    def _was_completed(self, part: str, now_ms: float) -> bool:
        """Return whether an answer with a part was completed here lately."""
        completed_at_ms = self._completed_at_ms.get(part, -math.inf)
        return now_ms - completed_at_ms <= CLEARED_LIFE_MS

    async def _is_gone(self, server: ServerView, now_ms: float) -> bool:
        key = f"{server.server_id}@{server.incarnation}"
        tested_at_ms, is_gone = self._probes.get(key, (-math.inf, False))
        if now_ms - tested_at_ms < PROBE_LIFE_MS:
            return is_gone
        self._probes = {
            other: probe
            for other, probe in self._probes.items()
            if now_ms - probe[0] < PROBE_LIFE_MS
        }
        is_gone = await self._probe_server(server.http_addr)
        self._probes[key] = now_ms, is_gone
        return is_gone


def _build_message(
    ends: Iterable[EndEvidence], cleared: Iterable[str], now_ms: float
) -> CrashEvidence:
    return CrashEvidence(
        tuple(
            ServerEnd(
                end.server_id,
                tuple(sorted(end.begun_parts)),
                tuple(sorted(end.awaited_parts)),
                now_ms - end.at_ms,
            )
            for end in ends
        ),
        tuple(sorted(cleared)),
    )


def _log_changes(before: dict[str, Block], after: dict[str, Block]) -> None:
    for part in after.keys() - before.keys():
        event = "request_blocked" if is_request(part) else "prompt_part_blocked"
        get_logger().warning(event, part=part, servers=",".join(after[part].server_ids))
    for part in before.keys() - after.keys():
        event = "request_allowed" if is_request(part) else "prompt_part_allowed"
        get_logger().info(event, part=part)
