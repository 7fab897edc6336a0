"""HTTP/1.1 messages on asyncio streams."""

import asyncio

MAX_HEAD_BYTES = 65536


class Message:
    """Head and body of a request or an answer."""

    def __init__(self, start, headers):
        self.start = start
        self.headers = headers
        self.body = b""
        self.is_whole = False

    def get(self, name, default=None):
        """Return a header by its lower-case name."""
        return self.headers.get(name, default)


async def read_head(reader, first=b""):
    """Read a head; return None when the connection has ended.

    `first` holds bytes of it that were read before.
    """
    try:
        raw = first + await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunks(reader, message):
    """Yield the pieces of a body; set `is_whole` at its proper end."""
    if message.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                message.is_whole = True
                return
            yield piece[:-2]
    elif message.get("content-length") is not None:
        left = int(message.get("content-length"))
        while left:
            piece = await reader.read(min(left, 65536))
            if not piece:
                return
            left -= len(piece)
            yield piece
        message.is_whole = True
    else:
        while piece := await reader.read(65536):
            yield piece
        message.is_whole = True


async def read_body(reader, message):
    """Read the whole body of a request."""
    if "content-length" not in message.headers and (
        "transfer-encoding" not in message.headers
    ):
        message.is_whole = True
        return
    async for piece in read_chunks(reader, message):
        message.body += piece


def encode_head(start, headers):
    """Encode a head."""
    lines = [start, *(f"{name}: {value}" for name, value in headers), "", ""]
    return "\r\n".join(lines).encode("latin-1")


def encode_answer(status, headers, body):
    """Encode a complete answer."""
    reasons = {200: "OK", 404: "Not Found", 410: "Gone"}
    head = encode_head(
        f"HTTP/1.1 {status} {reasons.get(status, 'Status')}",
        [*headers, ("Content-Length", len(body))],
    )
    return head + body


def reset(writer):
    """Close a connection with a reset."""
    writer.transport.abort()


class Answer:
    """What a client has received for one request."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_whole = False


async def send(
    address, method, target, headers, body=b"", *, seconds, on_bytes=None
):
    """Send one request on a new connection and return its Answer.

    The answer holds what has arrived when the connection ends or the time is
    over.
    """
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(
                *address, limit=MAX_HEAD_BYTES
            )
            writer.write(
                encode_head(
                    f"{method} {target} HTTP/1.1",
                    [*headers, ("Content-Length", len(body))],
                )
                + body
            )
            message = await read_head(reader)
            if message is None:
                return answer
            answer.status = int(message.start.split()[1])
            answer.headers = message.headers
            async for piece in read_chunks(reader, message):
                answer.body += piece
                if on_bytes is not None:
                    on_bytes(answer)
            answer.is_whole = message.is_whole
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer
