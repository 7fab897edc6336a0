"""JSON encoding of etcd messages."""

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

CLUSTER_ID = "14841639068965178418"
MEMBER_ID = "10276657743932975437"


class StoreError(AnswerError):
    """Error in the format of etcd's JSON gateway."""

    def __init__(self, *, status, number, message):
        super().__init__(status=status, code=str(number), message=message)
        self.number = number

    def to_document(self):
        return {
            "error": self.message,
            "code": self.number,
            "message": self.message,
        }


def build_argument_error(message):
    """Build the error for an invalid argument."""
    return StoreError(status=400, number=3, message=message)


def read_bytes(document, name):
    """Return a base64 field as bytes, empty if the field is absent."""
    try:
        return base64.b64decode(document.get(name) or "", validate=True)
    except (TypeError, binascii.Error) as error:
        raise build_argument_error(f"{name}: illegal base64 data") from error


def read_number(document, name):
    """Return a number field, 0 if the field is absent."""
    try:
        return int(document.get(name) or 0)
    except (TypeError, ValueError) as error:
        raise build_argument_error(f"{name}: not a number") from error


def build_header(revision):
    """Build the header of an answer."""
    return {
        "cluster_id": CLUSTER_ID,
        "member_id": MEMBER_ID,
        "revision": str(revision),
        "raft_term": "2",
    }


def build_kv(entry, *, keys_only=False):
    """Build the document of an entry; as in proto JSON, zeros are omitted."""
    document = {"key": base64.b64encode(entry.key).decode()}
    for name in ("create_revision", "mod_revision", "version", "lease"):
        number = getattr(entry, name)
        if number:
            document[name] = str(number)
    if entry.value and not keys_only:
        document["value"] = base64.b64encode(entry.value).decode()
    return document


def build_event(event):
    """Build the document of an event; the type PUT is zero and omitted."""
    document = {"kv": build_kv(event.entry)}
    if event.is_delete:
        document["type"] = "DELETE"
    return document
