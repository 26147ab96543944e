"""The listed servers, and a record of each engine that follows its reports."""

from collections.abc import Iterable

from returns.result import Failure as Err

from ...kernel.clock import monotonic_ms
from ...kernel.logs import get_logger
from ...kernel.messages import LOST_QUEUE, FleetLoad, ServerView
from ...listing import ListedServer, ListSource, as_view, listed_keys
from ...routes import RouteDocument
from ._engine_record import N_FAILED_READS_LOST, EngineRecord
from ._orders import EngineClient

__all__ = ["Fleet"]

# A leaving server is told to the entries well within the platform's drain time.
LIST_INTERVAL_MS = 600.0
# Entries choose by the load that reports tell; a queue forms within this time.
REPORT_INTERVAL_MS = 450.0
# Reports lag, so a question repeated sooner than this gets the same values.
RESYNC_INTERVAL_MS = 60.0
PERCENT = 100
# An unload ends with its runs, at no known time; each report is a call.
BUSY_REPORT_INTERVAL_MS = 120.0


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
        self._list_read_ms = 0.0
        self._list_attempt_ms = 0.0

    def clear(self) -> None:
        """Forget everything, at the start of a leadership."""
        self.records.clear()
        self._listed = []
        self._list_read_ms = self._list_attempt_ms = 0.0

    def list_engines(self, service: str) -> list[EngineRecord]:
        """Return the records of a service's engines."""
        return [
            record
            for record in self.records.values()
            if record.server.service == service
        ]

    @property
    def is_known(self) -> bool:
        """Whether the list was read, and what each available engine holds."""
        available = (record for record in self.records.values() if record.is_available)
        return bool(self.records) and all(
            record.is_synced or record.held for record in available
        )

    def list_unserved(self, models: Iterable[str]) -> list[str]:
        """Return the models that no engine can serve; none before all are known."""
        if not self.is_known:
            return []
        available = [record for record in self.records.values() if record.is_available]
        return [
            name
            for name in models
            if not any(record.can_serve(name) for record in available)
        ]

    def build_views(self) -> dict[str, ServerView]:
        """Return the listed servers with what they hold by the latest orders."""
        views = {}
        for server in self._listed:
            record = self.records.get(server.server_id)
            is_exact = record is not None and record.server.born_ms == server.born_ms
            if is_exact and record.is_synced:
                keys = record.list_ready_keys()
            else:
                keys = tuple(sorted(listed_keys(server)))
            is_leaving = server.is_leaving or (is_exact and record.is_leaving)
            listed = server._replace(is_leaving=is_leaving)
            views[server.server_id] = as_view(listed, keys)
        return views

    def build_load(self, now_ms: float) -> FleetLoad | None:
        """Return the engines' load; None before a list was read."""
        if not self._list_read_ms:
            return None
        synced = [record for record in self.records.values() if record.is_synced]
        return FleetLoad(
            now_ms - self._list_read_ms,
            tuple(record.server.server_id for record in synced),
            tuple(record.n_running for record in synced),
            tuple(
                LOST_QUEUE if record.is_lost else record.n_queued for record in synced
            ),
            tuple(round(PERCENT * record.kv_share) for record in synced),
        )

    async def read_list(self, document: RouteDocument | None, now_ms: float) -> None:
        """Read the list when that is due; a failure leaves the last reading."""
        if now_ms - self._list_attempt_ms < LIST_INTERVAL_MS:
            return
        self._list_attempt_ms = now_ms
        listed = await self._source.read()
        if isinstance(listed, Err):
            get_logger().warning("list_not_read", reason=listed.failure().message)
            return
        self._list_read_ms = now_ms
        self._apply_list(listed.unwrap(), document)

    def list_due_reports(self, now_ms: float) -> list[EngineRecord]:
        """Return the engines whose report should be read now."""
        return [
            record for record in self.records.values() if _needs_report(record, now_ms)
        ]

    async def read_report(self, record: EngineRecord) -> None:
        """Read a report; an engine that gives none is left alone until it does."""
        async with record.lock:
            read = await self._client.report(record.server)
            record.report_read_ms = monotonic_ms()
            if isinstance(read, Err):
                fault = read.failure()
                if fault.retry_after_ms:
                    record.hold_off(record.report_read_ms + fault.retry_after_ms)
                else:
                    _record_failed_read(record, fault.message)
                return
            report = read.unwrap()
            born_ms = record.server.born_ms
            if report.born_ms and born_ms and report.born_ms != born_ms:
                return  # another life than the one that the list showed
            record.apply_report(report, record.report_read_ms)

    def _apply_list(
        self, listed: list[ListedServer], document: RouteDocument | None
    ) -> None:
        specs = (
            {service.name: service.engine for service in document.services}
            if document
            else {}
        )
        found: dict[str, EngineRecord] = {}
        for server in listed:
            spec = specs.get(server.service)
            if spec is None:
                continue
            record = self.records.get(server.server_id)
            if record is None or record.server.born_ms != server.born_ms:
                record = EngineRecord(server, spec)
            record.server = server
            record.set_spec(spec)
            found[server.server_id] = record
        self.records = found
        self._listed = listed


def _needs_report(record: EngineRecord, now_ms: float) -> bool:
    age_ms = now_ms - record.report_read_ms
    if record.lock.locked() or now_ms < record.held_off_until_ms:
        return False
    if record.is_lost:
        return age_ms > REPORT_INTERVAL_MS
    if not record.is_synced or record.n_failed_reads:
        return age_ms > RESYNC_INTERVAL_MS
    if record.is_busy:
        return now_ms > record.busy_until_ms and age_ms > BUSY_REPORT_INTERVAL_MS
    return age_ms > REPORT_INTERVAL_MS


def _record_failed_read(record: EngineRecord, reason: str) -> None:
    record.n_failed_reads += 1
    if record.n_failed_reads <= N_FAILED_READS_LOST:
        get_logger().info(
            "report_not_read",
            server=record.server.server_id,
            reason=reason,
            lost=record.is_lost,
        )
