"""Memory that a process keeps of open jobs, apart from bodies and outputs.

A gateway that runs items and has no upstream, a store in memory. The jobs'
bodies are of one byte and results have no output, so that what is left
describes the jobs. Each case is measured in a process of its own, since what
is loaded at the first use counts as well.
"""

import gc
import itertools
import json
import multiprocessing
import tracemalloc

import eliot
import fire
from twisted.internet import defer
from twisted.internet import task

from hollyspan_core.store import TOKEN_BYTES
from hollyspan_gateway.gateway import Gateway
from hollyspan_gateway.jobs import Item
from hollyspan_gateway.jobs import ItemResult
from hollyspan_gateway.jobs import Job
from hollyspan_gateway.jobs.records import build_result_key
from hollyspan_gateway.jobs.records import encode_job
from hollyspan_gateway.jobs.records import encode_result
from hollyspan_gateway.jobs.worker import Worker
from hollyspan_gateway.metrics import Metrics
from hollyspan_gateway.routes import RouteKind
from hollyspan_gateway.settings import GatewaySettings
from hollyspan_gateway.store import Store
from hollyspan_standins.memory import build_route
from hollyspan_standins.memory import build_table
from hollyspan_standins.memory import MemoryPool
from hollyspan_standins.memory import MemoryWire
from hollyspan_standins.memory import PlainDialect

__all__ = ["measure"]

# Jobs, items of each, length of identifiers and of paths, shared parts.
CASES = (
    (1, 10, 16, 20, 2),
    (10, 10, 16, 20, 2),
    (100, 10, 16, 20, 2),
    (1_000, 10, 16, 20, 2),
    (10, 200, 16, 20, 2),
    (10, 200, 160, 2_000, 32),
    (1, 1_000, 16, 20, 2),
    (1, 10_000, 16, 20, 2),
)
SETTLE_S = 1.0


def measure(*, memory_mb=36):
    """Print the bytes that a worker and a reader of jobs keep, as JSON.

    Parameters
    ----------
    memory_mb : int, optional
        Memory in the settings, in units of a million bytes.
    """
    context = multiprocessing.get_context("spawn")
    for case in CASES:
        with context.Pool(1) as pool:
            figures = pool.apply(measure_case, (case, memory_mb * 1_000_000))
        print(json.dumps(figures), flush=True)


def measure_case(case, memory_bytes):
    """Return the bytes that are kept in one case."""
    jobs, items, *lengths = case
    keep(build(memory_bytes, parts=lengths[2]), 1, 1, lengths, "warm-up")
    gateway = build(memory_bytes, parts=lengths[2])
    worker, reader = keep(gateway, jobs, items, lengths, "j")
    catalogue = gateway.worker.catalogue
    return {
        "jobs": jobs,
        "items": items,
        "lengths": lengths,
        "worker_bytes": worker,
        "reader_bytes": reader,
        "items_known": catalogue.count_items(),
        "views": len(gateway.reading.views),
    }


def keep(gateway, jobs, items, lengths, name):
    """Submit jobs and read them; return what worker and reader keep."""
    names = [f"{name}{number}" for number in range(jobs)]
    for each in names:
        job = build_job(each, items, lengths, now=gateway.reactor.seconds())
        call(gateway.store.create(encode_job(job)))
        results = {
            build_result_key(each, item.identifier): encode_result(
                ItemResult(
                    identifier=item.identifier, is_done=True, output=b""
                )
            )
            for item in job.items
        }
        call(gateway.store.create(results))

    def work():
        gateway.worker = Worker(gateway=gateway)
        gateway.worker.start()
        gateway.reactor.pump([0.1] * round(SETTLE_S / 0.1))

    def read_all():
        for each in names:
            call(read(gateway, each))

    return trace(work), trace(read_all)


async def read(gateway, name):
    view = await gateway.reading.find_view(name)
    await view.wait_for(0, seconds=0.0)


def trace(work):
    """Call a function; return the bytes that it has taken and left."""
    gc.collect()
    tracemalloc.start()
    work()
    gc.collect()
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return kept


def call(work):
    """Run a coroutine that ends at once."""
    ends = []
    defer.ensureDeferred(work).addBoth(ends.append)
    if hasattr(ends[0], "raiseException"):
        ends[0].raiseException()


def build(memory_bytes, *, parts):
    """Return a gateway that runs items, without upstreams."""
    reactor = task.Clock()
    tokens = itertools.count(1)
    store = Store(
        wire=MemoryWire(reactor=reactor),
        reactor=reactor,
        create_token=lambda: next(tokens).to_bytes(TOKEN_BYTES, "big"),
    )
    dialect = PlainDialect()
    dialect.decode_item_parts = lambda item: tuple(
        hash((item.body, number, item.identifier)) for number in range(parts)
    )
    gateway = Gateway(
        reactor=reactor,
        settings=GatewaySettings(
            instance="g1",
            data_centre="a",
            regions={"a": "r"},
            ip="127.0.0.1",
            client_port=1,
            ready_port=2,
            peer_port=3,
            snapshot_port=4,
            metrics_port=5,
            runs_batch=True,
            store_address=("127.0.0.1", 1),
            grace_seconds=8.0,
            memory_bytes=memory_bytes,
        ),
        store=store,
        dialect=dialect,
        metrics=Metrics(),
        incarnation=1,
    )
    # Bodies have a bound of their own.
    gateway.bodies.cache.limit = 0
    gateway.use_pool(MemoryPool(reactor=reactor))
    gateway.wall_clock = gateway.boot_clock = reactor.seconds
    gateway.routes = build_table(
        [build_route(host="h", prefix="/b/", kind=RouteKind.BATCH)]
    )
    gateway.upstreams_mirror.is_connected = True
    return gateway


def build_job(name, items, lengths, *, now):
    """Return a job whose identifiers and paths have some lengths."""
    identifier_length, path_length, _ = lengths
    return Job(
        identifier=name,
        host="h",
        path="/b/",
        submitted=now,
        due=now + 18.0,
        retained_until=now + 3600.0,
        items=[
            Item(
                identifier=f"{name}-{number:05}".ljust(identifier_length, "0"),
                path=f"/b/{number}/".ljust(path_length, "x"),
                headers=[],
                body=b"B",
            )
            for number in range(items)
        ],
    )


if __name__ == "__main__":
    eliot.add_destinations(lambda message: None)
    fire.Fire(measure)
