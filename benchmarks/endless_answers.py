"""Measure an entry daemon beside an engine that answers without end.

Run as ``python -m benchmarks.endless_answers KIND...``. One daemon has two
engines; the first is replaced by a program that passes nothing on and sends
bytes of one kind until its connection is closed.
"""

import argparse
import collections
from concurrent.futures import ThreadPoolExecutor
import contextlib
import itertools
import json
import os
from pathlib import Path
import socketserver
import subprocess
import sys
import threading
import time

from hollyspan_standins.caller import exchange
from hollyspan_standins.deployment import DataCentreLayout
from hollyspan_standins.deployment import open_deployment

CHAT = "/v1/chat/completions"
CLIENTS = 12
TOKENS = 40
SECONDS = 10.0
SETTLE_S = 2.0
DEADLINE_MS = 8000
MAX_ANSWER_BYTES = 4_000_000
BLOCK_BYTES = 65_536
# At most 40 MB a second from a connection.
PAUSE_S = BLOCK_BYTES / 40e6
HEAD = b"HTTP/1.1 200 OK\r\n"
EVENT_STREAM = HEAD + b"Content-Type: text/event-stream\r\n"
PLAIN = HEAD + b"Content-Type: application/json\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_LENGTH = b"Content-Length: 10000000000000\r\n\r\n"
FILLING = b"x" * BLOCK_BYTES
CHAT_KINDS = {
    "fields": (HEAD, b"X-Field: x\r\n" * 5000),
    "length": (PLAIN + ENDLESS_LENGTH, FILLING),
    "close": (PLAIN + b"\r\n", FILLING),
    "error": (
        b"HTTP/1.1 500 Error\r\n" + ENDLESS_LENGTH,
        FILLING,
    ),
    "events": (EVENT_STREAM + b"\r\n", None),
    "bytes": (
        EVENT_STREAM + CHUNKED,
        b"".join(b"1\r\n%c\r\n" % byte for byte in b": a comment\n\n") * 800,
    ),
    "comments": (EVENT_STREAM + b"\r\n", b":\n\n" * 20_000),
}
POLL_KINDS = {
    "health": ("/health", b'{"state": "serving", "x": "'),
    "load": ("/v1/load", b'{"waiting": 0, "x": "'),
    "cache": ("/v1/cache/events", b'{"next": 1, "x": "'),
}
POLL_ANSWERS = {
    "/health": {"state": "serving"},
    "/v1/load": {"slots": 8, "running": 0, "waiting": 0},
    "/v1/cache/events": {"events": [], "next": 0},
}
KINDS = (*CHAT_KINDS, *POLL_KINDS, "none")


class Flood(socketserver.StreamRequestHandler):
    """Connection of the engine that answers without end."""

    def handle(self):
        with contextlib.suppress(ConnectionError):
            while self.answer():
                pass

    def answer(self):
        line = self.rfile.readline().split()
        length = 0
        while (field := self.rfile.readline()).strip():
            name, _, value = field.lower().partition(b":")
            length = int(value) if name == b"content-length" else length
        self.rfile.read(length)
        if len(line) < 2:
            return False
        path = line[1].decode().partition("?")[0]
        start, filling = self.choose(path)
        if filling is not None:
            self.send_without_end(path, start, filling)
            return False
        self.wfile.write(start)
        return True

    def choose(self, path):
        kind = self.server.kind
        poll, start = POLL_KINDS.get(kind, (None, b""))
        if path == poll:
            return PLAIN + ENDLESS_LENGTH + start, itertools.repeat(FILLING)
        is_stream = path == CHAT or path.startswith("/v1/streams/")
        if is_stream and not path.endswith("/cancel") and kind in CHAT_KINDS:
            start, filling = CHAT_KINDS[kind]
            blocks = itertools.repeat(filling) if filling else list_events()
            return start, blocks
        body = json.dumps(POLL_ANSWERS.get(path, {"offset": 0})).encode()
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        return PLAIN + length + body, None

    def send_without_end(self, path, start, filling):
        sent = len(start)
        try:
            self.wfile.write(start)
            for block in filling:
                self.wfile.write(block)
                sent += len(block)
                time.sleep(PAUSE_S)
        except OSError:
            pass
        line = json.dumps({"path": path, "bytes": sent}) + "\n"
        os.write(sys.stdout.fileno(), line.encode())


def list_events():
    """Yield blocks of events with rising ids."""
    content = json.dumps({"choices": [{"index": 0, "delta": {}}]}).encode()
    for first in itertools.count(1, 500):
        yield b"".join(
            b"id: %d\ndata: %b\n\n" % (number, content)
            for number in range(first, first + 500)
        )


class FloodServer(socketserver.ThreadingTCPServer):
    """Server of the engine that answers without end."""

    allow_reuse_address = True
    daemon_threads = True


def serve_flood(kind, port):
    with FloodServer(("127.0.0.1", port), Flood) as server:
        server.kind = kind
        server.serve_forever()


def read_process(pid):
    """Return the peak size in MB and the processor seconds of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    peak_kb = int(status.split("VmHWM:")[1].split()[0])
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return peak_kb / 1000, (int(fields[11]) + int(fields[12])) / 100


def call_until(url, end, *, streamed):
    """Send requests until a time; yield status and seconds of each."""
    document = {
        "model": "pips-lm",
        "stream": streamed,
        "max_tokens": TOKENS,
    }
    for number in itertools.count():
        if time.monotonic() > end:
            return
        message = {"role": "user", "content": f"{number} {streamed}"}
        started = time.monotonic()
        try:
            reply = exchange(
                url,
                CHAT,
                document={**document, "messages": [message]},
                headers={"X-Deadline-Ms": str(DEADLINE_MS)},
                on_data=check_size,
            )
            status = describe(reply)
        except ValueError as error:
            status = type(error).__name__
        yield status, time.monotonic() - started


def check_size(body):
    """Close the connection to a daemon that passes an endless answer on."""
    if len(body) > MAX_ANSWER_BYTES:
        raise OSError


def describe(reply):
    if reply.status == 200:
        return "200" if reply.is_complete else f"200 cut {reply.failure}"
    return str(reply.status or reply.failure)


def run(kind):
    """Measure one kind; return the figures."""
    layouts = [
        DataCentreLayout(data_centre="attiki-a", region="attiki", engines=2)
    ]
    with open_deployment(layouts=layouts) as deployment:
        time.sleep(SETTLE_S)
        daemon = deployment.daemon_names[0]
        pid = deployment.find(daemon).child.pid
        name = deployment.list_upstreams()[0]
        flood = None
        if kind != "none":
            deployment.kill(name)
            flood = start_flood(kind, deployment.ports[name])
        before, used = read_process(pid)
        url = deployment.url(daemon)
        end = time.monotonic() + SECONDS
        with ThreadPoolExecutor(CLIENTS) as pool:
            works = [
                pool.submit(
                    lambda s=index % 2 == 0: list(
                        call_until(url, end, streamed=s)
                    )
                )
                for index in range(CLIENTS)
            ]
            time.sleep(SECONDS)
            peak, used_after = read_process(pid)
            answers = [pair for work in works for pair in work.result()]
        floods = stop_flood(flood)
    seconds = sorted(s for status, s in answers if status == "200")
    return {
        "kind": kind,
        "before_mb": round(before),
        "peak_mb": round(peak),
        "processor_s": round(used_after - used, 1),
        "answers": dict(collections.Counter(status for status, _ in answers)),
        "longest_s": round(max((s for _, s in answers), default=0), 1),
        "median_200_s": round(seconds[len(seconds) // 2], 2) if seconds else 0,
        "floods": len(floods),
        "most_mb_of_a_flood": round(max(floods, default=0) / 1e6, 2),
    }


def start_flood(kind, port):
    command = [sys.executable, "-m", "benchmarks.endless_answers"]
    child = subprocess.Popen(
        [*command, kind, "--serve", str(port)], stdout=subprocess.PIPE
    )
    lines = []
    reader = threading.Thread(target=lambda: lines.extend(child.stdout))
    reader.start()
    return child, reader, lines


def stop_flood(flood):
    if flood is None:
        return []
    child, reader, lines = flood
    child.terminate()
    child.wait()
    reader.join()
    return [json.loads(line)["bytes"] for line in lines]


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "kinds", nargs="*", metavar="KIND", help=", ".join(KINDS)
    )
    parser.add_argument("--serve", type=int, help="port of the flood")
    options = parser.parse_args()
    if options.serve:
        serve_flood(options.kinds[0], options.serve)
        return
    for kind in options.kinds or KINDS:
        print(json.dumps(run(kind)), flush=True)


if __name__ == "__main__":
    main()
