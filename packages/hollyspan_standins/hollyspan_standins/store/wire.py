"""The JSON form of etcd's messages."""

import base64
import binascii

from ..common import AnswerError

__all__ = [
    "build_event",
    "build_header",
    "build_kv",
    "read_bytes",
    "read_number",
]

CLUSTER = "14841639068965178418"
MEMBER = "10276657743932975437"


class StoreError(AnswerError):
    """An error in the shape of etcd's gateway."""

    def __init__(self, *, status, number, message):
        super().__init__(status=status, code=str(number), message=message)
        self.number = number

    def to_document(self):
        return {
            "error": self.message,
            "code": self.number,
            "message": self.message,
        }


def refuse_argument(message):
    """Return the error for an invalid argument."""
    return StoreError(status=400, number=3, message=message)


def read_bytes(document, name):
    """Return a base64 field as bytes; absent is empty."""
    try:
        return base64.b64decode(document.get(name) or "", validate=True)
    except (TypeError, binascii.Error) as error:
        raise refuse_argument(f"{name}: illegal base64 data") from error


def read_number(document, name):
    """Return a number field; absent is 0."""
    try:
        return int(document.get(name) or 0)
    except (TypeError, ValueError) as error:
        raise refuse_argument(f"{name}: not a number") from error


def build_header(revision):
    """Return the header of an answer."""
    return {
        "cluster_id": CLUSTER,
        "member_id": MEMBER,
        "revision": str(revision),
        "raft_term": "2",
    }


def build_kv(entry, *, keys_only=False):
    """Return an entry; as in proto JSON, zero values are left out."""
    document = {"key": base64.b64encode(entry.key).decode()}
    for name in ("create_revision", "mod_revision", "version", "lease"):
        number = getattr(entry, name)
        if number:
            document[name] = str(number)
    if entry.value and not keys_only:
        document["value"] = base64.b64encode(entry.value).decode()
    return document


def build_event(event):
    """Return an event; the type PUT is zero and left out."""
    document = {"kv": build_kv(event.entry)}
    if event.is_delete:
        document["type"] = "DELETE"
    return document
