"""The settings of a keeper and the check of each."""

from typing import NamedTuple

from ..kernel.registry import PluginKind, plugin_names
from ..kernel.settings import Check, address, one_of, peer_list, within
from . import (
    _planner,  # noqa: F401  registers the placement policies
    _platform,  # noqa: F401  registers the platform dialects
)
from ._member_operations import parse_peers

__all__ = ["KEEPER_SETTING_CHECKS", "KeeperSettings"]


class KeeperSettings(NamedTuple):
    """A host with a disk that runs the replicated log, the catalogue and placement.

    Parameters
    ----------
    keeper_id : str
        Name of this keeper.
    data : str
        Folder of the log and its snapshots.
    listen : str
        ip:port for connections of the system's daemons and of operators.
    http_listen : str
        ip:port for /healthz, /readyz and /metrics.
    peers : str
        The initial members as name=ip:port, separated by commas, including this
        keeper; empty for a single keeper. A keeper that replaces another is given
        the current members.
    join : str
        ip:port of keepers, separated by commas, whose log this keeper asks to join
        while it holds no log of its own. With `join` and without `peers` it forms
        no new log.
    grows : bool
        Whether a keeper that joins is added to the members. Otherwise it replaces a
        member that is lost.
    n_losses : int
        Number of keepers that may lose their disks at the same time. A new log accepts
        no edit until 2 * n_losses + 1 keepers have joined it.
    zone : str
        Availability zone of this host.
    snapshot_entries : int
        Number of log entries between two snapshots.
    tick_ms : int
        Milliseconds between two rounds of updates to agents and entries.
    plan_ms : int
        Shortest time between two placement rounds, in milliseconds.
    placement : str
        Placement policy: marginal_gain, static or on_demand_lru.
    move_weight : float
        Cost, in requests in flight, of each model that a move loads or releases. A
        move must bring more requests than its cost within their limits, so a higher
        value causes fewer moves.
    max_pending_loads : int
        Number of loads that may be under way at once.
    dead_after_ms : int
        Milliseconds without a report after which a server's models are placed
        elsewhere.
    min_residence_ms : int
        Milliseconds for which a placed model is not released to make room for
        another.
    loads_per_s : float
        Number of loads that the weight store allows per second.
    max_loads_at_once : int
        Number of loads that the weight store allows at once.
    permit_valid_ms : int
        Milliseconds within which a permitted load has to begin.
    platform_dialect : str
        Dialect of the platform's list of hosts.
    platform_url : str
        http://ip:port of the platform's list; empty for none.
    claim_keep_ms : int
        Milliseconds after which the claim of an Idempotency-Key expires.
    claims_max : int
        Largest number of claims at once; further claims are refused.
    claim_answer_bytes : int
        Size of the largest answer that is kept for repeated requests, in bytes.
    claim_answers_bytes : int
        Total size of the answers that are kept for repeated requests, in bytes; the
        oldest are dropped first.
    cluster_token : str
        Token of connections between the system's daemons, or @file.
    operator_token : str
        Token that operators' edits need, or @file.
    allow_no_token : bool
        Run without tokens; on loopback addresses only.
    limit_window_ms : int
        Window in milliseconds over which the use of customers' limits is measured; 0
        for none.
    limit_overage : float
        How far the use in a window may exceed a limit, as a share of what it allows.
    limit_slack : float
        How far the use in a window may exceed a limit further, in requests or tokens.
    """

    keeper_id: str
    data: str
    listen: str = "127.0.0.1:8100"
    http_listen: str = "127.0.0.1:8101"
    peers: str = ""
    join: str = ""
    grows: bool = False
    n_losses: int = 0
    zone: str = "zone-1"
    snapshot_entries: int = 10_000
    tick_ms: int = 50
    plan_ms: int = 200
    placement: str = "marginal_gain"
    move_weight: float = 0.5
    max_pending_loads: int = 16
    dead_after_ms: int = 5_000
    min_residence_ms: int = 10_000
    loads_per_s: float = 1.0
    max_loads_at_once: int = 2
    permit_valid_ms: int = 2_000
    platform_dialect: str = "http_hosts"
    platform_url: str = ""
    claim_keep_ms: int = 43_200_000
    claims_max: int = 50_000
    claim_answer_bytes: int = 16_384
    claim_answers_bytes: int = 16_777_216
    limit_window_ms: int = 0
    limit_overage: float = 0.0
    limit_slack: float = 0.0
    cluster_token: str = ""
    operator_token: str = ""
    allow_no_token: bool = False


def _are_peers(text: str) -> bool:
    try:
        parse_peers(text)
    except ValueError:
        return False
    return True


KEEPER_SETTING_CHECKS = {
    "keeper_id": Check("a name", bool),
    "data": Check("a folder", bool),
    "listen": address(),
    "http_listen": address(),
    "peers": Check("name=ip:port, separated by commas", _are_peers),
    "join": Check(
        "ip:port, separated by commas, or empty",
        lambda text: not text or peer_list().is_allowed(text),
    ),
    "n_losses": within(0, 4),
    "snapshot_entries": within(10, 1_000_000),
    "tick_ms": within(5, 5_000),
    "plan_ms": within(10, 60_000),
    "placement": one_of(*plugin_names(PluginKind.PLACEMENT_POLICY)),
    "move_weight": within(0, 1_000),
    "max_pending_loads": within(1, 10_000),
    "dead_after_ms": within(2_000, 3_600_000),
    "min_residence_ms": within(0, 3_600_000),
    "loads_per_s": within(0.01, 10_000),
    "max_loads_at_once": within(1, 10_000),
    "permit_valid_ms": within(100, 600_000),
    "platform_dialect": one_of(*plugin_names(PluginKind.PLATFORM_DIALECT)),
    "platform_url": Check(
        "http://ip:port, or empty", lambda url: not url or url.startswith("http://")
    ),
    "claim_keep_ms": within(1_000, 30 * 86_400_000),
    "claims_max": within(1, 10_000_000),
    "claim_answer_bytes": within(0, 1_048_576),
    "claim_answers_bytes": within(0, 2**32),
    "limit_window_ms": within(0, 600_000),
    "limit_overage": within(0, 1),
    "limit_slack": within(0, 1e12),
}
