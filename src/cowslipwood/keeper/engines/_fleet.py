"""Keeps the list of servers, and a record of each engine that follows its reports."""

from collections.abc import Callable, Iterable

from returns.result import Failure as Err

from ...kernel.clock import monotonic_ms
from ...kernel.logs import get_logger
from ...kernel.messages import N_QUEUED_WHEN_DOWN, FleetLoad, ServerView
from ...listing import ListedServer, ServerListSource, list_holding_keys, to_server_view
from ...routes import RouteDocument
from .._server_limits import ServerLimitTable
from ._engine_record import N_FAILED_READS_LOST, EngineRecord
from ._late_orders import LateOrders
from ._orders import EngineClient, EngineOrder
from ._specs import EngineSpecs, make_engine_specs
from ._turns import OrderTurns

__all__ = ["Fleet"]

# Interval between two reads of the list: entries learn of a leaving server well within
# the drain time of the platform.
LIST_INTERVAL_MS = 600.0
# Age of a report after which it is read again: entries choose engines by the reported
# load, and a queue forms within this time.
REPORT_INTERVAL_MS = 450.0
# Interval between two reads of a report whose record is out of date. Reports are
# delayed, so a read repeated sooner returns the same values.
RESYNC_INTERVAL_MS = 60.0
# Factor from a share to percent.
PERCENT = 100
# Interval between two reads of an engine whose order should have ended: an unload ends
# with its running requests, at an unknown time, and each read is a call.
BUSY_REPORT_INTERVAL_MS = 120.0


class Fleet:
    """Listed servers and the records of their engines.

    The records always have the specifications that `follow_document` returned last. A
    pass that reads both calls it first and ends when a later call returns others.

    Parameters
    ----------
    source : ServerListSource
    client : EngineClient
    turns : OrderTurns
    limits : ServerLimitTable
    document : callable
        Returns the document in force, or None.
    """

    def __init__(
        self,
        source: ServerListSource,
        client: EngineClient,
        turns: OrderTurns,
        limits: ServerLimitTable,
        document: Callable[[], RouteDocument | None],
    ):
        self._limits = limits
        self._document = document
        self._followed_document: RouteDocument | None = None
        self._specs = make_engine_specs(None)
        self._source = source
        self._turns = turns
        self._client = client
        self._late_orders = LateOrders()
        self.records: dict[str, EngineRecord] = {}
        self._listed: list[ListedServer] = []
        self._list_read_ms = 0.0
        self._list_attempt_ms = 0.0

    def clear(self) -> None:
        """Discard everything, at the start of a leadership."""
        self.records.clear()
        self._listed = []
        self._list_read_ms = self._list_attempt_ms = 0.0

    def follow_document(self) -> EngineSpecs:
        """Return the specifications of the document in force.

        After a change of the document, the records are those of its engines.
        """
        document = self._document()
        if document is not self._followed_document:
            self._followed_document = document
            self._specs = make_engine_specs(document)
            self._update_records(monotonic_ms())
            get_logger().info(
                "engine_specs_in_force",
                document=self._specs.version,
                services=len(self._specs.by_service),
                engines=len(self.records),
            )
        return self._specs

    def has_record(self, record: EngineRecord) -> bool:
        """Return whether a record is of this term and of the engine's present run."""
        return self.records.get(record.server.server_id) is record

    def list_engines(self, service: str) -> list[EngineRecord]:
        """Return the records of a service's engines."""
        return [
            record
            for record in self.records.values()
            if record.server.service == service
        ]

    @property
    def is_known(self) -> bool:
        """Whether the list and the models of all available engines are known."""
        available = (record for record in self.records.values() if record.is_available)
        return bool(self.records) and all(
            record.is_synced or record.held for record in available
        )

    def list_versions(self) -> dict[str, frozenset[str]] | None:
        """Return the software versions of the listed servers, by service.

        None before a list was read.
        """
        if not self._list_read_ms:
            return None
        versions: dict[str, set[str]] = {}
        for server in self._listed:
            versions.setdefault(server.service, set()).add(server.software_version)
        return {service: frozenset(found) for service, found in versions.items()}

    def list_unserved(self, models: Iterable[str]) -> list[str]:
        """Return the models that no engine can serve; none until `is_known`."""
        if not self.is_known:
            return []
        available = [record for record in self.records.values() if record.is_available]
        return [
            name
            for name in models
            if not any(record.can_serve(name) for record in available)
        ]

    def build_views(self) -> dict[str, ServerView]:
        """Return the listed servers with their models by the latest orders."""
        views = {}
        for server in self._listed:
            record = self.records.get(server.server_id)
            is_same_run = record is not None and record.server.born_ms == server.born_ms
            if is_same_run and record.is_synced:
                keys = record.list_ready_keys()
            else:
                keys = tuple(sorted(list_holding_keys(server)))
            is_leaving = server.is_leaving or (is_same_run and record.is_leaving)
            listed = server._replace(is_leaving=is_leaving)
            is_engine = server.service in self._specs.by_service
            views[server.server_id] = to_server_view(listed, keys, is_engine)
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
                N_QUEUED_WHEN_DOWN if record.is_lost else record.n_queued
                for record in synced
            ),
            tuple(round(PERCENT * record.kv_share) for record in synced),
        )

    async def read_list(self, now_ms: float) -> None:
        """Read the list when that is due; after a failure the last list stays."""
        if now_ms - self._list_attempt_ms < LIST_INTERVAL_MS:
            return
        self._list_attempt_ms = now_ms
        listed = await self._source.read()
        if isinstance(listed, Err):
            get_logger().warning("list_not_read", reason=listed.failure().message)
            return
        self._list_read_ms = now_ms
        self._listed = listed.unwrap()
        self.follow_document()
        self._update_records(now_ms)

    def apply_limits(self, now_ms: float) -> None:
        """Apply the limits that entries have reported."""
        for record in self.records.values():
            server_id, incarnation = _get_limit_key(record)
            rate_per_s = self._limits.find_rate(server_id, incarnation)
            if rate_per_s is not None or record.is_limited:
                is_short = self._limits.was_short(server_id, incarnation, now_ms)
                record.set_limit(rate_per_s, is_short)

    def record_call(self, record: EngineRecord, now_ms: float) -> None:
        """Record an order or a report request, which an engine's limit counts."""
        record.record_call(now_ms)
        self._limits.take_own(*_get_limit_key(record), now_ms)

    def record_late_order(
        self, record: EngineRecord, order: EngineOrder, now_ms: float
    ) -> None:
        """Record that an order without an answer may still be carried out."""
        record.record_lost_order(now_ms)
        server_id = record.server.server_id
        self._late_orders.record(server_id, order, now_ms)
        # The engine may have started again while the order was on its way.
        for same_server in (record, self.records.get(server_id, record)):
            same_server.late_orders = self._late_orders.list_orders(server_id, now_ms)

    def list_engines_to_read(self, now_ms: float) -> list[EngineRecord]:
        """Return the engines whose report should be read now."""
        return [
            record for record in self.records.values() if _needs_report(record, now_ms)
        ]

    async def read_report(self, record: EngineRecord) -> None:
        """Read an engine's report; count a failure unless the engine asked to pause."""
        async with record.lock:
            self.record_call(record, monotonic_ms())
            answer = await self._client.report(record.server)
            record.report_read_ms = monotonic_ms()
            if isinstance(answer, Err):
                fault = answer.failure()
                if fault.retry_after_ms:
                    record.hold_off(record.report_read_ms + fault.retry_after_ms)
                else:
                    _record_failed_read(record, fault.message)
                return
            report = answer.unwrap()
            born_ms = record.server.born_ms
            if report.born_ms and born_ms and report.born_ms != born_ms:
                return  # the engine has restarted since the list was read
            record.apply_report(report, record.report_read_ms)

    def _update_records(self, now_ms: float) -> None:
        """Keep a record of each listed server whose service has engines."""
        found: dict[str, EngineRecord] = {}
        for server in self._listed:
            spec = self._specs.by_service.get(server.service)
            if spec is None:
                continue
            record = self.records.get(server.server_id)
            if record is None or record.server.born_ms != server.born_ms:
                next_order_ms = self._turns.get_next_order_ms(server.server_id)
                record = EngineRecord(server, spec, next_order_ms)
            record.late_orders = self._late_orders.list_orders(server.server_id, now_ms)
            record.server = server
            record.set_spec(spec)
            found[server.server_id] = record
        self.records = found


def _needs_report(record: EngineRecord, now_ms: float) -> bool:
    age_ms = now_ms - record.report_read_ms
    paused_until_ms = max(record.held_off_until_ms, record.next_call_ms)
    if record.lock.locked() or now_ms < paused_until_ms:
        return False
    if record.is_lost:
        return age_ms > REPORT_INTERVAL_MS
    if not record.is_synced or record.n_failed_reads:
        return age_ms > RESYNC_INTERVAL_MS
    if record.is_busy:
        return now_ms > record.busy_until_ms and age_ms > BUSY_REPORT_INTERVAL_MS
    return age_ms > record.get_report_interval_ms(REPORT_INTERVAL_MS)


def _get_limit_key(record: EngineRecord) -> tuple[str, str]:
    """Return the id and the incarnation of an engine, as entries name them."""
    return record.server.server_id, str(record.server.born_ms)


def _record_failed_read(record: EngineRecord, reason: str) -> None:
    record.n_failed_reads += 1
    if record.n_failed_reads <= N_FAILED_READS_LOST:
        get_logger().info(
            "report_not_read",
            server=record.server.server_id,
            reason=reason,
            lost=record.is_lost,
        )
