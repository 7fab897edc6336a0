"""Construction of an engine."""

import random

from twisted.internet.task import LoopingCall

from .engine import Engine
from .events import CacheEvents
from .orders import Orders
from .report import LoadReport
from .report import SAMPLE_INTERVAL_S
from .server import EngineServer
from .timing import Timing

__all__ = ["build_engine"]


def build_engine(clock, options, record):
    """Return the server of a new engine.

    Parameters
    ----------
    clock : IReactorTime
    options : argparse.Namespace
        See ``python -m hollyspan_standins.engine --help``.
    record : callable
        Called with the name of an event and its fields.

    Returns
    -------
    EngineServer
    """
    events = CacheEvents(
        clock=clock,
        random=random.Random(options.seed),
        lag_seconds=options.event_lag,
        loss_share=options.event_loss,
    )
    engine = Engine(
        clock=clock,
        models=options.model or ["pips-lm"],
        slots=options.slots,
        timing=Timing(
            base=options.step_base,
            per_stream=options.step_per_stream,
            prefill_per_token=options.prefill_per_token,
            speed=options.speed,
        ),
        cache_blocks=options.cache_blocks,
        publish=events.publish,
        resume_seconds=options.resume_seconds,
        record=record,
    )
    report = LoadReport(
        clock=clock,
        lag_seconds=options.report_lag,
        measure=engine.measure_load,
    )
    start_sampling(clock, report)
    return EngineServer(
        engine=engine,
        orders=Orders(checks_fencing=options.checks_fencing),
        events=events,
        report=report,
        salt=options.salt,
    )


def start_sampling(clock, report):
    """Start to sample the load at a fixed interval."""
    sampling = LoopingCall(report.sample)
    sampling.clock = clock
    sampling.start(SAMPLE_INTERVAL_S, now=False)
