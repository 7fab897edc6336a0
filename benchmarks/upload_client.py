"""Client that streams uploads and downloads without buffering them."""

import hashlib
import http.client
import json
import random
import urllib.parse

from hollyspan_standins.deployment import CALLER_KEY

__all__ = ["download", "upload"]

BOUNDARY = "f0e1d2c3b4a5"
FORM_HEAD = (
    f"--{BOUNDARY}\r\n"
    'content-disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
    f"--{BOUNDARY}\r\n"
    'content-disposition: form-data; name="file"; filename="a.jsonl"\r\n\r\n'
).encode()
FORM_TAIL = f"\r\n--{BOUNDARY}--\r\n".encode()
ITEMS_PER_PIECE = 100
READ_PIECE_BYTES = 65_536
PROMPT_CHARACTERS = "abcdefghijklmnopqrstuvwxyz      "


def upload(url, *, items, prompt_bytes, seed, on_piece):
    """Upload generated items; return the file document and the digest.

    Parameters
    ----------
    url : str
    items : int
    prompt_bytes : int
    seed : int
    on_piece : callable
        Called after each piece is sent.
    """
    digest = hashlib.sha256()

    def generate():
        yield FORM_HEAD
        for piece in generate_pieces(items, prompt_bytes, seed):
            digest.update(piece)
            yield piece
            on_piece()
        yield FORM_TAIL

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
    """Download a file and return the digest of its content.

    Parameters
    ----------
    url, file : str
    on_piece : callable
        Called after each piece is read.
    """
    digest = hashlib.sha256()
    connection = open_connection(url)
    connection.request(
        "GET", f"/v1/files/{file}/content", headers=build_headers()
    )
    response = connection.getresponse()
    while piece := response.read(READ_PIECE_BYTES):
        digest.update(piece)
        on_piece()
    connection.close()
    return digest.hexdigest()


def open_connection(url):
    return http.client.HTTPConnection(urllib.parse.urlsplit(url).netloc)


def build_headers():
    return {"authorization": f"Bearer {CALLER_KEY}"}


def generate_pieces(items, prompt_bytes, seed):
    """Yield the lines of a file in pieces of several lines."""
    generator = random.Random(seed)
    for first in range(0, items, ITEMS_PER_PIECE):
        last = min(first + ITEMS_PER_PIECE, items)
        yield b"".join(
            build_line(number, generator, prompt_bytes)
            for number in range(first, last)
        )


def build_line(number, generator, prompt_bytes):
    prompt = "".join(generator.choices(PROMPT_CHARACTERS, k=prompt_bytes))
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
