"""Runs one entry: its link to the keepers and its callers' interface."""

import random
import uuid
from typing import Any, NamedTuple

import anyio

from ..kernel.channel import Channel
from ..kernel.http import HttpServer, bind_socket, with_health
from ..kernel.keeper_link import KeeperLink
from ..kernel.lifecycle import check_tokens
from ..kernel.logs import get_logger
from ..kernel.messages import CatalogueUpdate, EntryReport, Hello, RoutingUpdate
from ..kernel.metrics import Metrics
from ..kernel.settings import address, peer_list, within
from ..kernel.tokens import read_token
from ._attempt_client import AttemptClient
from ._claims import Claims
from ._dispatch import Dispatcher
from ._front import Front
from ._view import View

__all__ = ["EntrySettings", "entry_checks", "run_entry"]


class EntrySettings(NamedTuple):
    """An entry host: callers' HTTP, limits, admission, routing, retries.

    Parameters
    ----------
    keepers : str
        ip:port of each keeper, with commas between.
    listen : str
        ip:port for callers and for /metrics.
    entry_id : str
        Name of this entry; made from `listen` when empty.
    zone : str
        Availability zone of this host.
    report_ms : int
        Milliseconds between two reports to the keepers.
    cluster_token : str
        Token of the system's own connections, or @file.
    allow_no_token : bool
        Run without tokens; on loopback only.
    """

    keepers: str
    listen: str = "127.0.0.1:8080"
    entry_id: str = ""
    zone: str = "zone-1"
    report_ms: int = 500
    cluster_token: str = ""
    allow_no_token: bool = False


entry_checks = {
    "keepers": peer_list(),
    "listen": address(),
    "report_ms": within(10, 10_000),
}


async def run_entry(settings: EntrySettings, stop: anyio.Event) -> None:
    """Run an entry until `stop` is set, then finish the open requests."""
    token = read_token(settings.cluster_token)
    check_tokens(settings.listen, settings.allow_no_token, token)
    entry = _Entry(settings, token)
    await entry.run(stop)


class _Entry:
    def __init__(self, settings: EntrySettings, token: str):
        self._settings = settings
        self._metrics = Metrics("entry")
        self._view = View()
        self._entry_id = settings.entry_id or f"entry-{settings.listen}"
        self._incarnation = uuid.uuid4().hex
        hello = Hello("entry", self._entry_id, self._incarnation, settings.zone, token)
        self._link = KeeperLink(
            settings.keepers, hello, self._on_message, self._report_loop
        )
        dispatcher = Dispatcher(token)
        claims = Claims(
            self._entry_id,
            self._link,
            dispatcher,
            AttemptClient(token),
            self._metrics,
        )
        self._front = Front(
            self._view, dispatcher, claims, self._metrics, random.SystemRandom()
        )

    async def run(self, stop: anyio.Event) -> None:
        """Serve until `stop`, then refuse new requests and finish open ones."""
        sock = bind_socket(self._settings.listen)
        app = with_health(self._front, self._metrics, lambda: not self._front.leaving)
        server = HttpServer(app, sock)
        get_logger().info("listening", addr=self._settings.listen)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            tasks.start_soon(self._link.run)
            await stop.wait()
            self._front.leaving = True
            while self._front.n_in_flight:
                await anyio.sleep(0.02)
            server.stop()
            tasks.cancel_scope.cancel()

    async def _on_message(self, value: Any) -> None:
        match value:
            case CatalogueUpdate():
                self._view.update_catalogue(value)
                self._metrics.gauge("revision", value.revision)
            case RoutingUpdate():
                self._view.update_routing(value)

    async def _report_loop(self, channel: Channel) -> None:
        while True:
            await channel.send(self._report())
            await anyio.sleep(self._settings.report_ms / 1000)

    def _report(self) -> EntryReport:
        return EntryReport(
            entry_id=self._entry_id,
            incarnation=self._incarnation,
            zone=self._settings.zone,
            http_addr=self._settings.listen,
            leaving=self._front.leaving,
            catalogue_revision=self._view.revision,
            demand=(),
        )
