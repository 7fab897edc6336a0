"""Stand-in of a model replica that streams events."""

import asyncio
import json
from pathlib import Path
import random
import secrets
import sys
import time

from .wire import encode_answer
from .wire import encode_head
from .wire import read_body
from .wire import read_head
from .wire import reset

HEARTBEAT_S = 1.2


def build_event(path, number):
    """Return one event of the stream for a path."""
    return f"id: {number}\ndata: {path} {number}\n\n".encode()


def build_output(path, count):
    """Return the whole output of an item."""
    return "\n".join(f"{path} {number}" for number in range(1, count + 1))


async def read_ahead(reader):
    """Return the first byte of the next request, nothing at the end."""
    try:
        return await reader.read(1)
    except ConnectionError:
        return b""


class Run:
    """One request at a replica."""

    def __init__(self, request, replica):
        self.identifier = request.get("request-id", "")
        self.method, self.target, _ = request.start.split(" ", 2)
        self.headers = request.headers
        self.body = request.body
        self.replica = replica
        self.at = time.monotonic()
        self.events = 0


class Replica:
    """A replica with slots and a queue, registered in the store.

    Parameters
    ----------
    store : Store
    record : callable
    zone : str
    service : str
    slots : int
    interval : float
        Seconds between two events.
    behave : callable, optional
        Coroutine function that answers a run in place of the usual answer;
        called with the run, the writer and the number of events.
    """

    def __init__(
        self,
        *,
        store,
        record,
        zone,
        service="m",
        slots=4,
        interval=0.02,
        queue=24,
        behave=None,
    ):
        self.store = store
        self.record = record
        self.zone = zone
        self.service = service
        self.slots = slots
        self.queue = queue
        self.interval = interval
        self.behave = behave
        self.name = f"i-{secrets.token_hex(4)}"
        self.state = "ready"
        self.sequence = 0
        self.born = round(time.time() * 1000)
        self.free = asyncio.Semaphore(slots)
        self.running = 0
        self.waiting = 0
        self.is_listed = False
        self.runs = []
        self.writers = set()
        self.server = None
        self.address = None
        self.beat = None

    async def start(self, host):
        await self.listen(host)
        self.is_listed = True
        self.beat = asyncio.create_task(self.send_heartbeats())

    async def listen(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def send_heartbeats(self):
        await self.publish()
        # Replicas don't write at the same moment.
        await asyncio.sleep(random.uniform(0.0, HEARTBEAT_S))
        while self.is_listed:
            await self.publish()
            await asyncio.sleep(HEARTBEAT_S)

    async def publish(self):
        self.sequence += 1
        await self.store.put(
            f"servers/{self.name}",
            {
                "Service": self.service,
                "Address": f"{self.address[0]}:{self.address[1]}",
                "Zone": self.zone,
                "Version": "1",
                "Slots": self.slots,
                "State": self.state,
                "ColdRemainingMs": 0,
                "Sequence": self.sequence,
                "born": self.born,
            },
        )

    def describe_load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    async def serve(self, reader, writer):
        first = b""
        self.writers.add(writer)
        try:
            while (request := await read_head(reader, first)) is not None:
                first = b""
                await read_body(reader, request)
                if request.start.startswith("GET /healthz"):
                    writer.write(
                        encode_answer(200, [("Instance-Id", self.name)], b"")
                    )
                    continue
                work = asyncio.create_task(self.answer(request, writer))
                # The run is dropped when the connection closes.
                ahead = asyncio.create_task(read_ahead(reader))
                done, _ = await asyncio.wait(
                    {work, ahead}, return_when=asyncio.FIRST_COMPLETED
                )
                ahead.cancel()
                if work not in done:
                    work.cancel()
                    return
                if work.result() is False:
                    return
                await asyncio.wait({ahead})
                if not ahead.cancelled():
                    first = ahead.result()
                    if not first:
                        return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        """Answer one request; return False to close the connection."""
        run = Run(request, self)
        common = [
            ("Request-Id", run.identifier),
            ("Server-Load", self.describe_load()),
        ]
        if run.headers.get("expect-instance") not in (None, self.name):
            writer.write(encode_answer(421, [*common, ("Not-Run", "1")], b""))
            return True
        if self.free.locked() and self.waiting >= self.queue:
            writer.write(encode_answer(503, [*common, ("Not-Run", "1")], b""))
            return True
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.runs.append(run)
        self.record(
            "run",
            id=run.identifier,
            replica=self.name,
            target=run.target,
            after=run.headers.get("last-event-id"),
        )
        try:
            return await self.stream(run, writer, common)
        finally:
            self.running -= 1
            self.free.release()

    async def stream(self, run, writer, common):
        count = int(run.headers["token-counts"].split(",")[1])
        if self.behave is not None:
            result = await self.behave(run, writer, count)
            if result is not None:
                return result
        first = int(run.headers.get("last-event-id") or 0) + 1
        self.begin_stream(run, writer)
        for number in range(first, count + 1):
            await asyncio.sleep(self.interval)
            self.write_chunk(writer, build_event(run.target, number))
            run.events = number
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self.record("ran", id=run.identifier, replica=self.name)
        return True

    def begin_stream(self, run, writer, *, framing=True):
        headers = [
            ("Request-Id", run.identifier),
            ("Server-Stamp", f"{self.name}.{run.identifier}"),
            ("Server-Load", self.describe_load()),
            ("Content-Type", "text/event-stream"),
        ]
        if framing:
            headers.append(("Transfer-Encoding", "chunked"))
        writer.write(encode_head("HTTP/1.1 200 OK", headers))

    @staticmethod
    def write_chunk(writer, content):
        writer.write(b"%x\r\n%s\r\n" % (len(content), content))

    def reset(self, writer):
        reset(writer)

    def stop(self):
        """End like a process that exits: close all connections."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer)


def describe(document):
    """Return a document as one line of JSON."""
    return json.dumps(document, sort_keys=True)


class ProcessReplica(Replica):
    """A replica whose answers come from a process of its own.

    Few of its answers have no length: they end with their connection.
    """

    async def listen(self, host):
        program = Path(__file__).with_name("replica_program.py")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(program),
            *("--host", host),
            *("--name", self.name),
            *("--slots", str(self.slots)),
            *("--interval", str(self.interval)),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        port = int(await self.process.stdout.readline())
        self.address = host, port
        self.reading = asyncio.create_task(self.read_lines())

    async def read_lines(self):
        while line := await self.process.stdout.readline():
            self.record("process", replica=self.name, line=line.decode()[:-1])

    async def kill(self):
        """End the process at once."""
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
