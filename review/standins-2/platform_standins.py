"""Stand-ins of the platform for the review's scripts.

One event loop holds the platform's store, the model replicas, the operator
and the clients; the project's programs run as processes of their own, with
the commands of the deploy file. Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import tempfile
import time
import tomllib
import traceback
from urllib.parse import parse_qs

ROOT = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
)
MAX_HEAD_BYTES = 65536
# Limits on one page of the store's keys, from PROTOCOL.md.
MAX_PAGE_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000


class Request:
    """A request as a stand-in received it."""

    def __init__(self, method, target, headers, body, peer):
        self.method = method
        self.target = target
        self.path, _, self.query = target.partition("?")
        self.headers = headers
        self.body = body
        self.peer = peer

    def argument(self, name, default=None):
        """Return the first value of a query argument."""
        return parse_qs(self.query).get(name, [default])[0]


async def read_head(reader):
    """Return the first line and the headers of a message, None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunked(reader):
    """Return a body in chunks."""
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            await reader.readline()
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_request(reader, peer):
    """Return the next request of a connection, None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ", 2)
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await read_chunked(reader)
        elif int(headers.get("content-length", 0)):
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return Request(method, target, headers, body, peer)


def build_head(status, headers, reason="X"):
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def write_answer(writer, status, body=b"", headers=()):
    """Write a whole answer with its length."""
    head = build_head(
        status, [*headers, ("Content-Length", str(len(body)))]
    )
    writer.write(head + body)
    await writer.drain()


class Store:
    """The platform's store, as PROTOCOL.md describes it."""

    def __init__(self):
        self.items = {}
        self.revision = 100
        self.log = []
        self.changed = asyncio.Event()
        self.is_down = False

    def apply(self, values, removed=()):
        """Write and remove keys at one revision, which is returned."""
        self.revision += 1
        for key, value in values.items():
            known = self.items.get(key)
            item = {
                "Key": key,
                "Value": base64.b64encode(value).decode(),
                "Revision": self.revision,
                "CreatedRev": known["CreatedRev"] if known else self.revision,
                "Lease": 0,
            }
            self.items[key] = item
            self.log.append((self.revision, key, item))
        for key in removed:
            if self.items.pop(key, None) is not None:
                event = {
                    "Key": key, "Revision": self.revision, "Removed": True
                }
                self.log.append((self.revision, key, event))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def write_json(self, key, document):
        return self.apply({key: json.dumps(document).encode()})

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                request = await read_request(reader, peer)
                if request is None:
                    return
                if self.is_down:
                    await write_answer(writer, 503, b"{}")
                    continue
                status, document = await self.answer(request)
                if self.is_down:
                    status, document = 503, {}
                await write_answer(
                    writer,
                    status,
                    json.dumps(document).encode(),
                    [("Content-Type", "application/json")],
                )
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        name = request.path.removeprefix("/api/")
        if name == "kv-key":
            item = self.items.get(request.argument("Key"))
            if item is None:
                return 404, {"CurrentRev": self.revision}
            return 200, {**item, "CurrentRev": self.revision}
        if name == "kv-range":
            prefix = request.argument("Prefix", "")
            after = request.argument("After", "")
            found = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(prefix) and key > after
            ]
            page, size = [], 0
            for item in found[:MAX_PAGE_ITEMS]:
                size += len(item["Value"])
                if page and size > MAX_PAGE_BYTES:
                    break
                page.append(item)
            return 200, {
                "Items": page,
                "MorePages": len(found) > len(page),
                "CurrentRev": self.revision,
            }
        if name == "kv-watch":
            return await self.watch(request)
        if name == "kv-txn":
            return self.commit(json.loads(request.body))
        return 404, {}

    async def watch(self, request):
        prefix = request.argument("Prefix", "")
        after = int(request.argument("After"))
        end = time.monotonic() + int(request.argument("WaitMs")) / 1000
        while True:
            changed = self.changed
            events = [
                event
                for revision, key, event in self.log
                if revision > after and key.startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "CurrentRev": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def commit(self, body):
        expected = {
            row["Key"]: row["Revision"]
            for row in body.get("ExpectedRevision", [])
        }
        failed = any(
            self.items.get(key, {"Revision": 0})["Revision"] != revision
            for key, revision in expected.items()
        )
        if failed:
            return 412, {
                "Items": [
                    self.items[key] for key in expected if key in self.items
                ]
            }
        values = {
            row["Key"]: base64.b64decode(row["Value"])
            for row in body.get("SetKeys", [])
        }
        if any(key.startswith(("op/", "servers/")) for key in values):
            return 403, {}
        return 200, {"Revision": self.apply(values, body.get("Remove", []))}


def build_text(path, number, version="v1"):
    """Return the data of an event, the same at each replica of a version."""
    return f"{version}{path}/{number}/" + "x" * 40


def reset(writer):
    """Reset a connection."""
    connection = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


class Replica:
    """A model replica with slots and a queue."""

    def __init__(
        self,
        world,
        name,
        service,
        zone,
        *,
        ip,
        slots=8,
        queue=24,
        gap=0.02,
        version="v1",
    ):
        self.world = world
        self.name = name
        self.service = service
        self.zone = zone
        self.ip = ip
        self.port = None
        self.slots = slots
        self.gap = gap
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.queue = queue
        self.state = "ready"
        self.server = None
        self.born = round(time.time() * 1000)
        self.version = version
        self.is_up = False
        # Whether the store holds what the replica last said of itself.
        self.is_written = True
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port or 0, limit=MAX_HEAD_BYTES
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.is_up = True
        if self.is_written:
            self.publish()

    def crash(self):
        """End like a process that is killed; its entry stays."""
        self.world.record("crash", replica=self.name)
        self.is_up = False
        self.server.close()
        for writer in list(self.connections):
            reset(writer)

    async def start_again(self, *, version):
        """Start a new incarnation with the same id and address."""
        self.version = version
        self.born = round(time.time() * 1000)
        self.free = asyncio.Semaphore(self.slots)
        await self.start()
        self.world.record("start", replica=self.name, version=version)

    def publish(self):
        self.world.store.write_json(
            f"servers/{self.name}",
            {
                "Service": self.service,
                "Address": f"{self.ip}:{self.port}",
                "Zone": self.zone,
                "Version": self.version,
                "Slots": self.slots,
                "State": self.state,
                "ColdRemainingMs": 0,
                "Sequence": 1,
                "born": self.born,
            },
        )

    def build_headers(self, request):
        headers = [
            ("Server-Stamp", f"{self.name}.{request.headers['request-id']}"),
            ("Request-Id", request.headers["request-id"]),
            ("Server-Load", f"{self.running},{self.waiting},{self.slots}"),
            ("Keep-Alive", "timeout=30"),
        ]
        if self.state == "draining":
            headers.append(("Server-Leaving", "1"))
        return headers

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        self.connections.add(writer)
        try:
            while True:
                request = await read_request(reader, peer)
                if request is None or not await self.answer(
                    request, reader, writer
                ):
                    return
        except (ConnectionError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, request, reader, writer):
        """Answer a request; return whether the connection goes on."""
        await self.world.let_go_on.wait()
        if request.path == "/healthz":
            await write_answer(
                writer, 200, b"", [("Instance-Id", self.name)]
            )
            return True
        if "request-id" not in request.headers:
            await write_answer(writer, 400, b"", [("Not-Run", "1")])
            return True
        headers = self.build_headers(request)
        if request.headers.get("expect-instance", self.name) != self.name:
            await write_answer(writer, 421, b"", headers)
            return True
        if self.waiting >= self.queue:
            await write_answer(
                writer, 503, b"", [*headers, ("Not-Run", "1")]
            )
            return True
        work = asyncio.ensure_future(
            self.run_in_turn(request, headers, writer)
        )
        # A replica drops a request when its connection closes.
        watch = asyncio.ensure_future(reader.read(1))
        try:
            done, _ = await asyncio.wait(
                (work, watch), return_when=asyncio.FIRST_COMPLETED
            )
            if work not in done:
                work.cancel()
                self.world.record(
                    "dropped", id=request.headers["request-id"]
                )
                return False
            return work.result() and not watch.done()
        finally:
            watch.cancel()
            with contextlib.suppress(BaseException):
                await watch

    async def run_in_turn(self, request, headers, writer):
        """Run a request once a slot is free."""
        free = self.free
        self.waiting += 1
        try:
            await free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.world.record(
                "run",
                id=request.headers["request-id"],
                replica=self.name,
                service=self.service,
                path=request.path,
                gateway=request.peer,
                last=request.headers.get("last-event-id"),
                version=self.version,
            )
            return await self.run(request, headers, writer)
        finally:
            self.running -= 1
            free.release()

    async def run(self, request, headers, writer):
        """Answer with events; return whether the connection goes on."""
        counts = request.headers.get("token-counts", "1,1")
        count = int(counts.split(",")[1])
        first = int(request.headers.get("last-event-id", 0)) + 1
        writer.write(
            build_head(
                200,
                [
                    *headers,
                    ("Content-Type", "text/event-stream"),
                    ("Transfer-Encoding", "chunked"),
                ],
            )
        )
        for number in range(first, count + 1):
            await asyncio.sleep(self.gap)
            await self.world.let_go_on.wait()
            text = build_text(request.path, number, self.version)
            event = f"id: {number}\ndata: {text}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Proxy:
    """Forwards connections to the store, and can let open ones fall silent."""

    def __init__(self, world, target):
        self.world = world
        self.target = target
        self.links = set()
        self.port = None
        self.server = None

    async def start(self, ip):
        self.server = await asyncio.start_server(
            self.serve, ip, 0, limit=MAX_HEAD_BYTES
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self.target
            )
        except OSError:
            writer.close()
            return
        link = {"silent": False}
        self.links.add(id(link))
        self.world.proxy_links.append(link)
        await asyncio.gather(
            self.pump(reader, far_writer, link),
            self.pump(far_reader, writer, link),
        )

    async def pump(self, reader, writer, link):
        try:
            while True:
                data = await reader.read(65536)
                if link["silent"]:
                    # What is read is dropped; neither end is closed.
                    if not data:
                        return
                    continue
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.close()


class Answer:
    """What a client received."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_whole = False
        self.error = None


async def read_answer(reader, answer, method="POST"):
    """Read an answer into an `Answer`."""
    head = await read_head(reader)
    if head is None:
        return
    first, answer.headers = head
    answer.status = int(first.split(" ")[1])
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                return
            size = int(line, 16)
            if size == 0:
                await reader.readline()
                answer.is_whole = True
                return
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
    elif "content-length" in answer.headers:
        size = int(answer.headers["content-length"])
        answer.body = await reader.readexactly(size)
        answer.is_whole = True
    else:
        answer.body = await reader.read()
        answer.is_whole = True


class Gateway:
    """A process of the project."""

    def __init__(self, world, name, role, ip, zone, region, ports, settings):
        self.world = world
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.ports = ports
        self.path = os.path.join(world.folder, f"{name}.json")
        self.log = os.path.join(world.folder, f"{name}.log")
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.process = None

    @property
    def address(self):
        return self.ip, self.ports["Front"]

    async def start(self):
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["HOLLYSPAN_NODE_FILE"] = self.path
        environment["PYTHONPATH"] = os.path.join(ROOT, "target", "deps")
        command = self.world.deploy["roles"][self.role]["run"].split(" ")
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def read_log(self):
        with open(self.log, encoding="utf-8", errors="replace") as file:
            return file.read()


class World:
    """All of one run."""

    def __init__(self, folder, *, zones, bounds=None, contracts=()):
        self.folder = folder
        self.store = Store()
        self.records = []
        self.started = time.monotonic()
        self.zones = zones
        self.bounds = bounds or {}
        self.contracts = contracts
        self.gateways = {}
        self.replicas = {}
        self.proxies = {}
        self.proxy_links = []
        self.servers = []
        # Cleared while all replicas stand still.
        self.let_go_on = asyncio.Event()
        self.let_go_on.set()
        self.network = (
            f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        )
        self.next_host = 1
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)

    def record(self, event, **fields):
        """Note an event for the record."""
        now = round(time.monotonic() - self.started, 3)
        self.records.append({"t": now, "event": event, **fields})

    def now(self):
        return time.monotonic() - self.started

    def pick_ip(self):
        self.next_host += 1
        return f"{self.network}.{self.next_host}"

    def publish_if_possible(self, replica):
        """Let a replica write its entry, unless the store is down."""
        if not self.store.is_down:
            replica.publish()

    async def start_store(self):
        server = await asyncio.start_server(
            self.store.serve, "127.0.0.1", 0, limit=MAX_HEAD_BYTES
        )
        self.servers.append(server)
        self.store_address = server.sockets[0].getsockname()[:2]

    async def add_replica(self, name, service="m", zone=None, **options):
        replica = Replica(
            self,
            name,
            service,
            zone or next(iter(self.zones)),
            ip=self.pick_ip(),
            **options,
        )
        await replica.start()
        self.replicas[name] = replica
        return replica

    async def add_gateway(self, name, role, zone=None):
        ip = self.pick_ip()
        zone = zone or next(iter(self.zones))
        proxy = Proxy(self, self.store_address)
        await proxy.start("127.0.0.1")
        self.proxies[name] = proxy
        ports = {"Front": free_port(ip), "ReadyAddr": free_port(ip)}
        settings = {
            "NodeName": name,
            "Role": role,
            "MachineClass": "front" if role == "front" else "store",
            "Serves": ["front"] if role == "front" else ["store"],
            "Ip": ip,
            "Zone": zone,
            "Region": self.zones[zone],
            "Zones": self.zones,
            "ListenAddrs": {
                key: f"{ip}:{port}" for key, port in ports.items()
            }
            if role == "front"
            else {},
            "InternalPorts": [7720, 7735],
            "SeedNodes": [],
            "Bootstrap": True,
            "CountsAsLoss": role != "front",
            "Limits": {
                "CpuShare": 0.537, "CpuCores": 2, "MemoryMb": 300,
                "MaxFds": 4200, "LinkMbps": 1000.0, "DiskMb": 0,
            },
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "virtual_ip",
            "HeartbeatMs": 1200,
            "Contracts": [
                "base", "drain", "config", "cost", "recover", "batch",
                "stream", "engine", "platform", *self.contracts,
            ],
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": {
                "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000,
                "AckMs": 4000, "CatchUpS": 4.9, "DrainMs": 2500,
                "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2500,
                "RollbackSlackMs": 250, "MaxStretchMs": 5000,
                "RecoveryS": 12, "PassMs": 200, "RetryAfterS": 0,
                "FinishS": 18, "StatusS": 120, "CancelMs": 3000,
                "SettleMs": 1000, "QuotaOverage": 0.1, **self.bounds,
            },
            "Platform": {
                "Address": f"127.0.0.1:{proxy.port}",
                "form": "kv", "WritesPerS": 400, "ReadsPerS": 2000,
                "HistoryS": 20, "ValueBytes": 1048576, "TtlMinMs": 1000,
            },
        }
        gateway = Gateway(
            self, name, role, ip, zone, self.zones[zone], ports, settings
        )
        self.gateways[name] = gateway
        return gateway

    async def start_gateways(self):
        for gateway in self.gateways.values():
            await gateway.start()
        for gateway in self.gateways.values():
            if gateway.role == "front":
                await self.wait_ready(gateway)

    async def wait_ready(self, gateway, seconds=20.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            answer = await self.call(
                (gateway.ip, gateway.ports["ReadyAddr"]),
                "GET", "/api/ready", [], seconds=0.5,
            )
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{gateway.name} is not ready")

    async def call(
        self, address, method, target, headers, body=b"", *, seconds=5.0,
        on_open=None,
    ):
        """Send one request on a new connection and return the answer."""
        answer = Answer()
        writer = None
        try:
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(*address)
                lines = [*headers, ("Content-Length", str(len(body)))]
                head = f"{method} {target} HTTP/1.1\r\n" + "".join(
                    f"{name}: {value}\r\n" for name, value in lines
                )
                writer.write(head.encode("latin-1") + b"\r\n" + body)
                await read_answer(reader, answer, method)
        except (
            OSError, asyncio.TimeoutError, asyncio.IncompleteReadError
        ) as error:
            answer.error = repr(error)
        finally:
            if writer is not None:
                writer.close()
        return answer

    async def stream(
        self, gateway, identifier, path, count, *, host="h.example",
        seconds=5.0, last=None, key=None, parts="aa:50,bb:50", body=b"prompt",
    ):
        headers = [
            ("Host", host),
            ("Request-Id", identifier),
            ("Deadline-Ms", str(int(seconds * 1000))),
            ("Model", "m"),
            ("Token-Counts", f"100,{count}"),
            ("Prompt-Prefix", parts),
        ]
        if last is not None:
            headers.append(("Last-Event-Id", str(last)))
        if key is not None:
            headers.append(("Authorization", f"Bearer {key}"))
        self.record("sent", id=identifier, gateway=gateway.name, path=path)
        answer = await self.call(
            gateway.address, "POST", path, headers, body, seconds=seconds
        )
        self.record(
            "answered", id=identifier, status=answer.status,
            whole=answer.is_whole, bytes=len(answer.body), error=answer.error,
        )
        return answer

    async def submit(
        self, gateway, identifier, items, *, host="h.example", path="/b/",
        seconds=4.0, key=None,
    ):
        """Submit a batch job of (item, path, count)."""
        rows = [
            {
                "Id": item,
                "Path": item_path,
                "Headers": {
                    "Model": "m",
                    "Token-Counts": f"100,{count}",
                    "Prompt-Prefix": f"cc:50,{item}:50",
                },
                "Body": base64.b64encode(item.encode()).decode(),
                "Tokens": 100 + count,
            }
            for item, item_path, count in items
        ]
        headers = [
            ("Host", host),
            ("Request-Id", identifier),
            ("Content-Type", "application/json"),
        ]
        if key is not None:
            headers.append(("Authorization", f"Bearer {key}"))
        self.record("sent job", id=identifier, gateway=gateway.name)
        answer = await self.call(
            gateway.address, "POST", path + identifier, headers,
            json.dumps({"Items": rows}).encode(), seconds=seconds,
        )
        self.record("answered job", id=identifier, status=answer.status)
        return answer

    async def read_job(
        self, gateway, identifier, after=0, *, host="h.example", key=None
    ):
        headers = [("Host", host), ("Wait-Ms", "500")]
        if key is not None:
            headers.append(("Authorization", f"Bearer {key}"))
        answer = await self.call(
            gateway.address, "GET", f"/api/lots/{identifier}?After={after}",
            headers, seconds=2.5,
        )
        document = None
        if answer.status == 200 and answer.is_whole:
            document = json.loads(answer.body)
        return answer, document

    async def end_job(self, gateway, identifier, *, host="h.example"):
        self.record("sent end", id=identifier, gateway=gateway.name)
        answer = await self.call(
            gateway.address, "DELETE", f"/api/lots/{identifier}",
            [("Host", host)], seconds=4.0,
        )
        self.record("answered end", id=identifier, status=answer.status)
        return answer

    def write_record(self, path, notes):
        with open(path, "w", encoding="utf-8") as file:
            for each in self.records:
                file.write(json.dumps(each) + "\n")
            for note in notes:
                file.write(f"# {note}\n")


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def build_route(kind, prefix, service="m", **fields):
    """Return a route of the operator's configuration."""
    route = {
        "Name": prefix.strip("/"),
        "Host": "h.example",
        "Prefix": prefix,
        "Kind": kind,
        "Service": service,
        "TimeoutMs": 5000,
        "TargetLatencyMs": 300,
        "Priority": 0,
        "MaxAttempts": 2,
    }
    if kind == "stream":
        route.update({"GapTargetMs": 500, "Sticky": True})
    if kind == "batch":
        route.update(
            {
                "MaxAttempts": 3, "TimeoutMs": 15000, "Priority": 2,
                "CompletionTargetMs": 18000, "RetentionS": 60,
            }
        )
    route.update(fields)
    return route


def build_configuration(version, routes, services=("m",), **fields):
    """Return the operator's configuration."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": name, "HealthPath": "/healthz"} for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
        },
        **fields,
    }


async def run_with_world(play, **options):
    """Run a case; returns what `play` returns, and ends all processes."""
    loop = asyncio.get_running_loop()
    # Connections that end with the run are no news.
    loop.set_exception_handler(lambda *_: None)
    # The processes are ended in any case.
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asyncio.current_task().cancel)
    with tempfile.TemporaryDirectory(prefix="hollyspan-review-") as folder:
        world = World(folder, **options)
        try:
            return world, await play(world)
        finally:
            for gateway in world.gateways.values():
                await gateway.kill()
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(
                    folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True
                )


def main(play, record_path, **options):
    """Run a case and return its exit code: 1 broken, 0 held, 2 not run."""
    world = None
    try:
        world, broken = asyncio.run(
            asyncio.wait_for(run_with_world(play, **options), 115)
        )
    except (Exception, asyncio.CancelledError) as error:
        traceback.print_exc()
        with open(record_path, "w", encoding="utf-8") as file:
            file.write(f"# the case could not run: {error!r}\n")
        return 2
    world.write_record(record_path, broken or ["the rule held"])
    for line in broken:
        print(line)
    return 1 if broken else 0
