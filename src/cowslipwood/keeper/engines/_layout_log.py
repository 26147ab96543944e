"""Logs the leader's view of the engines and of the demand."""

from collections.abc import Sequence

from ...kernel.logs import get_logger
from ._demand import DemandTracker
from ._engine_record import EngineRecord
from ._expected_load import ExpectedLoad

__all__ = ["log_layout"]

# Models whose demand is logged, by highest offered load: there may be hundreds, and
# decisions depend on these.
N_MODELS_LOGGED = 5


def log_layout(
    records: Sequence[EngineRecord],
    expected_load: ExpectedLoad,
    demand: DemandTracker,
    now_ms: float,
) -> None:
    """Log the models and load of each engine, and the models in highest demand."""
    for record in records:
        get_logger().info(
            "engine_seen",
            server=record.server.server_id,
            models=",".join(sorted(record.held)),
            loading=record.loading_model,
            dropping=record.unloading_model,
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
        model_demand = by_model[name]
        get_logger().info(
            "demand_seen",
            model=name,
            offered=round(model_demand.offered_load, 1),
            in_flight=round(model_demand.n_in_flight, 1),
            waiting=round(model_demand.n_waiting, 1),
            held_up=model_demand.n_pending_lookups,
        )
