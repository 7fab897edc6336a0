"""Client that holds neither the upload nor the download in memory."""

import hashlib
import http.client
import json
import random
import urllib.parse

from hollyspan_standins.deployment import CALLER_KEY

__all__ = ["download", "upload"]

BOUNDARY = "f0e1d2c3b4a5"
HEAD = (
    f"--{BOUNDARY}\r\n"
    'content-disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
    f"--{BOUNDARY}\r\n"
    'content-disposition: form-data; name="file"; filename="a.jsonl"\r\n\r\n'
).encode()
TAIL = f"\r\n--{BOUNDARY}--\r\n".encode()
PIECE_ITEMS = 100
PIECE_BYTES = 65_536
LETTERS = "abcdefghijklmnopqrstuvwxyz      "


def upload(url, *, items, prompt_bytes, seed, on_piece):
    """Upload generated items; return the file and its digest.

    Parameters
    ----------
    url : str
    items : int
    prompt_bytes : int
    seed : int
    on_piece : callable
        Called after each piece that was sent.
    """
    digest = hashlib.sha256()

    def generate():
        yield HEAD
        for piece in generate_pieces(items, prompt_bytes, seed):
            digest.update(piece)
            yield piece
            on_piece()
        yield TAIL

    connection = open_connection(url)
    connection.request(
        "POST",
        "/v1/files",
        generate(),
        {
            **build_headers(),
            "content-type": f"multipart/form-data; boundary={BOUNDARY}",
        },
        encode_chunked=True,
    )
    answer = json.loads(connection.getresponse().read())
    connection.close()
    return answer, digest.hexdigest()


def download(url, file, *, on_piece):
    """Download a file; return the digest of its content.

    Parameters
    ----------
    url, file : str
    on_piece : callable
        Called after each piece that was read.
    """
    digest = hashlib.sha256()
    connection = open_connection(url)
    connection.request(
        "GET", f"/v1/files/{file}/content", headers=build_headers()
    )
    response = connection.getresponse()
    while piece := response.read(PIECE_BYTES):
        digest.update(piece)
        on_piece()
    connection.close()
    return digest.hexdigest()


def open_connection(url):
    return http.client.HTTPConnection(urllib.parse.urlsplit(url).netloc)


def build_headers():
    return {"authorization": f"Bearer {CALLER_KEY}"}


def generate_pieces(items, prompt_bytes, seed):
    """Yield the lines of a file, some at once."""
    chance = random.Random(seed)
    for first in range(0, items, PIECE_ITEMS):
        last = min(first + PIECE_ITEMS, items)
        yield b"".join(
            build_line(number, chance, prompt_bytes)
            for number in range(first, last)
        )


def build_line(number, chance, prompt_bytes):
    prompt = "".join(chance.choices(LETTERS, k=prompt_bytes))
    item = {
        "custom_id": f"item-{number}",
        "method": "POST",
        "url": "/v1/chat/completions",
        "body": {
            "model": "pips-lm",
            "messages": [{"role": "user", "content": prompt}],
        },
    }
    return json.dumps(item).encode() + b"\n"
