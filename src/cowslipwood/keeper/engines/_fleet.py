"""The listed servers, and a record of each engine that follows its reports."""

from collections.abc import Iterable

from returns.result import Failure as Err

from ...kernel.clock import monotonic_ms
from ...kernel.logs import get_logger
from ...kernel.messages import LOST_QUEUE, FleetLoad, ServerView
from ...listing import ListedServer, ListSource, listed_keys, to_server_view
from ...routes import RouteDocument
from ._orders import EngineClient
from ._record import LOST_READS, EngineRecord

__all__ = ["Fleet"]

# A leaving server is told to the entries well within the platform's drain time.
LIST_MS = 600.0
# Entries choose by the load that reports tell; a queue forms within this time.
LOAD_MS = 450.0
# Reports lag, so a question repeated sooner than this gets the same values.
RESYNC_MS = 60.0
PERCENT = 100
# An unload ends with its runs, at no known time; each report is a call.
BUSY_MS = 120.0


class Fleet:
    """What the leader knows of all servers.

    Parameters
    ----------
    source : ListSource
    client : EngineClient
    """

    def __init__(self, source: ListSource, client: EngineClient):
        self._source = source
        self._client = client
        self.records: dict[str, EngineRecord] = {}
        self._listed: list[ListedServer] = []
        self._listed_ms = 0.0
        self._asked_ms = 0.0

    def clear(self) -> None:
        """Forget everything, at the start of a leadership."""
        self.records.clear()
        self._listed = []
        self._listed_ms = self._asked_ms = 0.0

    def of(self, service: str) -> list[EngineRecord]:
        """Return the records of a service's engines."""
        return [
            each for each in self.records.values() if each.server.service == service
        ]

    @property
    def is_known(self) -> bool:
        """Whether the list was read, and what each engine that stays holds."""
        staying = (each for each in self.records.values() if each.stays)
        return bool(self.records) and all(
            each.is_synced or each.held for each in staying
        )

    def unserved(self, models: Iterable[str]) -> list[str]:
        """Return the models that no engine can serve; none before all are known."""
        if not self.is_known:
            return []
        staying = [each for each in self.records.values() if each.stays]
        return [name for name in models if not any(e.holds(name) for e in staying)]

    def views(self) -> dict[str, ServerView]:
        """Return the listed servers with what they hold by the latest orders."""
        views = {}
        for server in self._listed:
            record = self.records.get(server.server_id)
            is_exact = record is not None and record.server.born_ms == server.born_ms
            if is_exact and record.is_synced:
                keys = record.ready_keys()
            else:
                keys = tuple(sorted(listed_keys(server)))
            is_leaving = server.is_leaving or (is_exact and record.is_leaving)
            listed = server._replace(is_leaving=is_leaving)
            views[server.server_id] = to_server_view(listed, keys)
        return views

    def load(self, now_ms: float) -> FleetLoad | None:
        """Return the engines' load; None before a list was read."""
        if not self._listed_ms:
            return None
        synced = [each for each in self.records.values() if each.is_synced]
        return FleetLoad(
            now_ms - self._listed_ms,
            tuple(each.server.server_id for each in synced),
            tuple(each.n_running for each in synced),
            tuple(LOST_QUEUE if e.is_lost else e.n_queued for e in synced),
            tuple(round(PERCENT * each.kv_share) for each in synced),
        )

    async def read_list(self, document: RouteDocument | None, now_ms: float) -> None:
        """Read the list when that is due; a failure leaves the last reading."""
        if now_ms - self._asked_ms < LIST_MS:
            return
        self._asked_ms = now_ms
        listed = await self._source.read()
        if isinstance(listed, Err):
            get_logger().warning("list_not_read", reason=listed.failure().message)
            return
        self._listed_ms = now_ms
        self._take_list(listed.unwrap(), document)

    def due_reports(self, now_ms: float) -> list[EngineRecord]:
        """Return the engines whose report should be read now."""
        return [each for each in self.records.values() if _needs_report(each, now_ms)]

    async def read_report(self, record: EngineRecord) -> None:
        """Read a report; an engine that gives none is left alone until it does."""
        async with record.lock:
            read = await self._client.report(record.server)
            record.read_at_ms = monotonic_ms()
            if isinstance(read, Err):
                fault = read.failure()
                if fault.retry_after_ms:
                    record.hold_off(record.read_at_ms + fault.retry_after_ms)
                else:
                    _note_failed_read(record, fault.message)
                return
            report = read.unwrap()
            born_ms = record.server.born_ms
            if report.born_ms and born_ms and report.born_ms != born_ms:
                return  # another life than the one that the list showed
            record.take_report(report, record.read_at_ms)

    def _take_list(
        self, listed: list[ListedServer], document: RouteDocument | None
    ) -> None:
        specs = {s.name: s.engine for s in document.services} if document else {}
        found: dict[str, EngineRecord] = {}
        for server in listed:
            spec = specs.get(server.service)
            if spec is None:
                continue
            record = self.records.get(server.server_id)
            if record is None or record.server.born_ms != server.born_ms:
                record = EngineRecord(server, spec)
            record.server = server
            record.use_spec(spec)
            found[server.server_id] = record
        self.records = found
        self._listed = listed


def _needs_report(record: EngineRecord, now_ms: float) -> bool:
    age_ms = now_ms - record.read_at_ms
    if record.lock.locked() or now_ms < record.held_off_until_ms:
        return False
    if record.is_lost:
        return age_ms > LOAD_MS
    if not record.is_synced or record.n_failed_reads:
        return age_ms > RESYNC_MS
    if record.is_busy:
        return now_ms > record.busy_until_ms and age_ms > BUSY_MS
    return age_ms > LOAD_MS


def _note_failed_read(record: EngineRecord, reason: str) -> None:
    record.n_failed_reads += 1
    if record.n_failed_reads <= LOST_READS:
        get_logger().info(
            "report_not_read",
            server=record.server.server_id,
            reason=reason,
            lost=record.is_lost,
        )
