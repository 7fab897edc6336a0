"""Setup of the job resource and the job runner in the daemon."""

import contextlib

from opentelemetry.metrics import Observation

from ..http import add_resource
from ..http import AsyncResource
from ..runtime import open_periodic
from .intake import build_handler
from .results import open_output
from .running import build_member_listener
from .running import JobRunner
from .running import TICK_INTERVAL_S
from .state import is_file_queued

__all__ = ["open_jobs"]


@contextlib.contextmanager
def open_jobs(runtime):
    """Serve ``/v1/batches`` and run jobs on this daemon's upstreams.

    Parameters
    ----------
    runtime : Runtime

    Yields
    ------
    JobRunner
    """
    handler = AsyncResource(handle=build_handler(runtime))
    add_resource(runtime.root, "v1/batches", handler)
    register_file_hooks(runtime)
    runner = JobRunner(runtime=runtime)
    register_counters(runtime, runner.counters)
    runtime.upstreams.load_listeners.append(runner.handle_load_update)
    runtime.members.listeners.append(build_member_listener(runner))
    runtime.cancelled_jobs.listeners.append(runner.stop_job)
    runtime.drain_hooks.append(runner.drain)
    reactor = runtime.reactor
    with contextlib.ExitStack() as stack:
        stack.callback(runner.queue.stop)
        for function, seconds in (
            (runner.lease.maintain, runner.lease.renewal_interval_s),
            (runner.queue.poll, runner.queue.poll_interval_s),
            (runner.tick, TICK_INTERVAL_S),
        ):
            stack.enter_context(
                open_periodic(function, seconds=seconds, reactor=reactor)
            )
        yield runner


def register_file_hooks(runtime):
    """Register output files and the use of input files with the file API."""

    async def find_output(workspace, file):
        return await open_output(runtime.store, workspace, file)

    async def is_needed(file):
        return await is_file_queued(runtime.store, file)

    runtime.file_sources.append(find_output)
    runtime.file_usage_checks.append(is_needed)


def register_counters(runtime, counters):
    """Export the counters of the runner as metrics of the daemon."""

    def observe(options):
        for name in counters.__slots__:
            yield Observation(getattr(counters, name), {"event": name})

    runtime.meter.create_observable_counter(
        "hollyspan.jobs.events", [observe], unit="{event}"
    )
