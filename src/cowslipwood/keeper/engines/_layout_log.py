"""Logs what the leader believes of the engines and of what is asked for."""

from collections.abc import Sequence

from ...kernel.logs import get_logger
from ._demand import DemandTracker
from ._engine_record import EngineRecord
from ._expected_load import ExpectedLoad

__all__ = ["log_layout"]

# Of the models, which may be hundreds: the ones that decisions hang on.
N_MODELS_LOGGED = 5


def log_layout(
    records: Sequence[EngineRecord],
    expected_load: ExpectedLoad,
    demand: DemandTracker,
    now_ms: float,
) -> None:
    """Log what each engine holds and carries, and what most is asked for."""
    for record in records:
        get_logger().info(
            "engine_seen",
            server=record.server.server_id,
            models=",".join(sorted(record.held)),
            loading=record.loading,
            dropping=record.unloading,
            busy_ms=round(record.estimate_busy_ms(now_ms)),
            running=record.n_running,
            queued=record.n_queued,
            expected=round(expected_load.get_n_requests(record.server.server_id), 1),
            stays=record.is_available,
            report_age_ms=round(now_ms - record.report_read_ms),
        )
    late_share = round(demand.late_share, 3)
    get_logger().info("lateness_seen", late_share=late_share)
    by_model = demand.by_model
    ranked = sorted(by_model, key=lambda name: by_model[name].offered_load)
    for name in ranked[-N_MODELS_LOGGED:]:
        wanted = by_model[name]
        get_logger().info(
            "demand_seen",
            model=name,
            offered=round(wanted.offered_load, 1),
            in_flight=round(wanted.n_in_flight, 1),
            waiting=round(wanted.n_waiting, 1),
            held_up=wanted.n_pending_lookups,
        )
