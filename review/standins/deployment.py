"""A small deployment: gateways as processes beside the stand-ins."""

import asyncio
import base64
import json
import os
from pathlib import Path
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from .replica import ProcessReplica
from .replica import Replica
from .store import Store
from .wire import send

ROOT = Path(__file__).resolve().parents[2]
ZONES = {"a": "r1", "b": "r2", "c": "r3"}
HOST = "review.example"
GRACE_S = 8
READY_TIMEOUT_S = 25.0
# Bounds of the sites chronos-serve and dala-span.
BOUNDS = {
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 5,
    "DrainMs": 2500,
    "GraceS": GRACE_S,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2500,
    "RecoveryS": 12,
    "FinishS": 18,
    "StatusS": 120,
    "CancelMs": 3000,
    "SettleMs": 1000,
}


class CaseError(Exception):
    """The case could not run."""


def pick_port(host):
    """Return a port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def read_commands():
    """Return the commands of the deploy file by role."""
    with open(ROOT / "deploy" / "system.toml", "rb") as file:
        roles = tomllib.load(file)["roles"]
    return {name: role["run"].split() for name, role in roles.items()}


class Gateway:
    """One process of the system."""

    def __init__(self, *, name, role, zone, ip, folder, store_address):
        self.name = name
        self.role = role
        self.ip = ip
        self.process = None
        self.log = folder / f"{name}.log"
        listen = {}
        if role == "front":
            listen = {
                key: f"{ip}:{pick_port(ip)}" for key in ("Front", "ReadyAddr")
            }
        self.listen = listen
        self.settings = folder / f"{name}.json"
        self.settings.write_text(
            json.dumps(
                {
                    "NodeName": name,
                    "Role": role,
                    "MachineClass": "front" if role == "front" else "store",
                    "Serves": ["front" if role == "front" else "store"],
                    "Ip": ip,
                    "Zone": zone,
                    "Region": ZONES[zone],
                    "Zones": ZONES,
                    "ListenAddrs": listen,
                    "InternalPorts": [7720, 7735],
                    "SeedNodes": [],
                    "Bootstrap": True,
                    "CountsAsLoss": role == "worker",
                    "HeartbeatMs": 1200,
                    "FaultTolerance": {"Machines": 1},
                    "Bounds": BOUNDS,
                    "Platform": {
                        "Address": "%s:%d" % store_address,
                        "form": "kv",
                        "WritesPerS": 400,
                        "ReadsPerS": 2000,
                        "HistoryS": 20,
                        "ValueBytes": 1048576,
                    },
                }
            )
        )

    @property
    def address(self):
        host, _, port = self.listen["Front"].rpartition(":")
        return host, int(port)

    @property
    def ready_address(self):
        host, _, port = self.listen["ReadyAddr"].rpartition(":")
        return host, int(port)

    def start(self):
        words = read_commands()[self.role]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["HOLLYSPAN_NODE_FILE"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def freeze(self):
        self.signal(signal.SIGSTOP)

    def wake(self):
        self.signal(signal.SIGCONT)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def read_log(self, *words):
        """Return the log lines that contain all of some words."""
        with open(self.log, errors="replace") as file:
            return [
                line.rstrip()
                for line in file
                if all(word in line for word in words)
            ]


class Deployment:
    """Stand-ins and gateways of one case.

    Attributes
    ----------
    has_trouble : bool
        False when the case runs without its disruption.
    broken : list of str
        Broken rules.
    """

    def __init__(self, *, folder, temporary, has_trouble):
        self.has_trouble = has_trouble
        self.started_at = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.folder = temporary
        self.network = (
            f"127.{64 + secrets.randbelow(128)}.{secrets.randbelow(256)}"
        )
        self.hosts = 0
        self.store = Store()
        self.replicas = []
        self.gateways = {}
        self.broken = []
        self.version = 0

    def pick_host(self):
        """Return a loopback address that nothing else uses here."""
        self.hosts += 1
        return f"{self.network}.{self.hosts}"

    def record(self, event, **fields):
        """Write one line to record.txt."""
        seconds = time.monotonic() - self.started_at
        values = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{seconds:8.3f} {event} {values}\n")
        self.file.flush()

    def note_broken(self, text):
        self.broken.append(text)
        self.record("BROKEN", what=text)

    async def start_store(self):
        await self.store.start(self.pick_host())

    async def add_replica(self, *, create=Replica, **options):
        replica = create(store=self.store, record=self.record, **options)
        self.replicas.append(replica)
        await replica.start(self.pick_host())
        return replica

    def add_gateway(self, name, role, zone, *, store_address=None, start=True):
        gateway = Gateway(
            name=name,
            role=role,
            zone=zone,
            ip=self.pick_host(),
            folder=self.folder,
            store_address=store_address or self.store.address,
        )
        self.gateways[name] = gateway
        if start:
            gateway.start()
        return gateway

    async def configure(self, routes):
        """Write a new configuration as the operator does."""
        self.version += 3
        await self.store.put(
            "op/config",
            {
                "Version": self.version,
                "Routes": routes,
                "Services": [{"Name": "m", "HealthPath": "/healthz"}],
                "Limits": {
                    "MaxHeaderBytes": 16384,
                    "MaxBodyBytes": 4194304,
                    "HeaderTimeoutMs": 3000,
                    "IdleTimeoutMs": 15000,
                },
            },
        )
        self.record("configuration", version=self.version, routes=len(routes))

    async def wait_ready(self):
        """Wait until all fronts are ready and workers have begun."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        for gateway in self.gateways.values():
            while gateway.role == "front":
                answer = await send(
                    gateway.ready_address,
                    "GET",
                    "/api/ready",
                    [("Host", "ready")],
                    seconds=0.5,
                )
                if answer.status == 200:
                    break
                if time.monotonic() > deadline:
                    raise CaseError(f"{gateway.name} is not ready")
                await asyncio.sleep(0.1)
        # Workers start one second after the process and hear their peers.
        await asyncio.sleep(3.0)
        for gateway in self.gateways.values():
            if gateway.process.poll() is not None:
                raise CaseError(f"{gateway.name} has ended")
        self.record("ready")

    async def send_stream(
        self,
        front,
        path,
        count,
        *,
        identifier=None,
        seconds=5.0,
        headers=(),
        on_bytes=None,
    ):
        """Send a stream request and record its answer."""
        identifier = identifier or secrets.token_hex(8)
        self.record("sent", id=identifier, path=path, front=front.name)
        answer = await send(
            front.address,
            "POST",
            path,
            [
                ("Host", HOST),
                ("Request-Id", identifier),
                ("Model", "m"),
                ("Token-Counts", f"100,{count}"),
                ("Prompt-Prefix", f"5c1e07a2:50,{identifier[:8]}:50"),
                ("Deadline-Ms", round(seconds * 1000)),
                *headers,
            ],
            b"prompt",
            seconds=seconds + 1.0,
            on_bytes=on_bytes,
        )
        self.record(
            "answered",
            id=identifier,
            status=answer.status,
            whole=answer.is_whole,
            bytes=len(answer.body),
        )
        return answer

    async def submit_job(self, front, path, items, *, seconds=5.0, job=None):
        """Submit a job once; items are (identifier, path, events)."""
        job = job or secrets.token_hex(8)
        body = json.dumps(
            {
                "Items": [
                    {
                        "Id": name,
                        "Path": item_path,
                        "Headers": {
                            "Model": "m",
                            "Token-Counts": f"100,{count}",
                            "Prompt-Prefix": f"5c1e07a2:50,{name[:8]}:50",
                        },
                        "Body": base64.b64encode(b"prompt").decode(),
                        "Tokens": 100 + count,
                    }
                    for name, item_path, count in items
                ]
            }
        ).encode()
        answer = await send(
            front.address,
            "POST",
            path,
            [
                ("Host", HOST),
                ("Request-Id", job),
                ("Content-Type", "application/json"),
            ],
            body,
            seconds=seconds,
        )
        self.record(
            "submitted", job=job, status=answer.status, items=len(items)
        )
        return job, answer

    async def call(self, front, method, target, *, seconds=3.0):
        """Call the interface for jobs."""
        answer = await send(
            front.address,
            method,
            target,
            [("Host", HOST), ("Wait-Ms", "1000")],
            seconds=seconds,
        )
        return answer

    async def read_results(self, front, job, total, *, seconds):
        """Read results until all are there; return those by item."""
        deadline = time.monotonic() + seconds
        results = {}
        position = 0
        while position < total and time.monotonic() < deadline:
            answer = await self.call(
                front, "GET", f"/api/lots/{job}?After={position}"
            )
            if answer.status != 200 or not answer.is_whole:
                self.record("read", job=job, status=answer.status)
                await asyncio.sleep(0.5)
                continue
            document = json.loads(answer.body)
            for row in document["Results"]:
                results[row["Id"]] = row
                self.record(
                    "result",
                    job=job,
                    position=position,
                    item=row["Id"],
                    state=row["State"],
                )
                position += 1
            await asyncio.sleep(0.3)
        return results


def run_case(folder, case, *, has_trouble):
    """Run a case and return its exit code.

    Parameters
    ----------
    folder : Path
        Receives record.txt.
    case : coroutine function
        Called with the Deployment.
    has_trouble : bool
        False to run the case without its disruption.
    """
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    deployment = Deployment(
        folder=folder, temporary=temporary, has_trouble=has_trouble
    )

    async def run():
        await deployment.start_store()
        try:
            await case(deployment)
        finally:
            for replica in deployment.replicas:
                if isinstance(replica, ProcessReplica):
                    await replica.kill()

    code = 2
    # The time limit of run.sh ends the case like an error.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(code))
    try:
        asyncio.run(run())
        code = 1 if deployment.broken else 0
    except CaseError as error:
        deployment.record("COULD NOT RUN", reason=error)
        print(error, file=sys.stderr)
    finally:
        for gateway in deployment.gateways.values():
            gateway.kill()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(
                temporary, os.environ["KEEP_LOGS"], dirs_exist_ok=True
            )
        shutil.rmtree(temporary, ignore_errors=True)
    deployment.record("exit", code=code)
    return code
