"""Keys and encoding of jobs and results in the store."""

import base64
import zlib

from hollyspan_core.documents import parse_document
from hollyspan_core.errors import RecordUnreadableError
from hollyspan_core.values import require_number
from hollyspan_core.values import require_type
from hollyspan_core.values import UNREADABLE

from .item import Item
from .item import ItemResult
from .job import Job
from .record_encoding import RecordEncoding
from .reservation import Reservation

__all__ = [
    "JOBS_PREFIX",
    "RESULTS_PREFIX",
    "build_end_key",
    "build_job_key",
    "build_result_key",
    "build_results_prefix",
    "cut_output",
    "decode_job",
    "decode_result",
    "encode_job",
    "encode_result",
    "is_end_key",
    "list_part_keys",
    "read_job_identifier",
    "read_result_item",
]

JOBS_PREFIX = "hs/j/"
PARTS_PREFIX = "hs/b/"
RESULTS_PREFIX = "hs/r/"
END_SUFFIX = "/end"
DONE_STATE = b"done"
GIVEN_UP_STATE = b"given_up"


def build_job_key(identifier):
    """Return the key of a job's record."""
    return JOBS_PREFIX + identifier


def build_end_key(identifier):
    """Return the key that marks a job as ended."""
    return JOBS_PREFIX + identifier + END_SUFFIX


def is_end_key(key):
    """Return whether a key marks a job as ended."""
    return key.endswith(END_SUFFIX)


def read_job_identifier(key):
    """Return the identifier of the job of a key below JOBS_PREFIX."""
    return key.removeprefix(JOBS_PREFIX).removesuffix(END_SUFFIX)


def build_results_prefix(identifier):
    """Return the prefix of the keys of a job's results."""
    return f"{RESULTS_PREFIX}{identifier}/"


def build_result_key(job, item):
    """Return the key of an item's result."""
    return build_results_prefix(job) + item


def read_result_item(key):
    """Return the identifier of the item of a result's key."""
    return key.rpartition("/")[2]


def list_part_keys(identifier, count):
    """Return the keys of a record's parts after the first."""
    return [f"{PARTS_PREFIX}{identifier}/{i}" for i in range(1, count)]


def encode_job(job, *, encoding=None):
    """Encode a job as the contents of one or several keys.

    Parameters
    ----------
    job : Job
    encoding : RecordEncoding, optional
        Of its items, whose bodies are not needed then.

    Returns
    -------
    dict
        Bytes by key. The first key is the job's; its first byte is the number
        of parts.
    """
    if encoding is None:
        encoding = RecordEncoding(items=job.items)
    parts = encoding.finish(
        {
            "host": job.host,
            "path": job.path,
            "submitted": job.submitted,
            "due": job.due,
            "retained_until": job.retained_until,
            "reservation": encode_reservation(job.reservation),
            "workspace": job.workspace,
        }
    )
    keys = [build_job_key(job.identifier)]
    keys += list_part_keys(job.identifier, len(parts))
    return dict(zip(keys, parts))


def decode_job(identifier, content):
    """Decode a job from its joined parts.

    Parameters
    ----------
    identifier : str
    content : bytes
        All parts, without the leading count.

    Returns
    -------
    Job

    Raises
    ------
    RecordUnreadableError
    """
    try:
        document = parse_document(zlib.decompress(content))
        return Job(
            identifier=identifier,
            host=require_type(document["host"], str),
            path=require_type(document["path"], str),
            submitted=require_number(document["submitted"]),
            due=require_number(document["due"]),
            retained_until=require_number(document["retained_until"]),
            items=[
                decode_item(item)
                for item in require_type(document["items"], list)
            ],
            reservation=decode_reservation(document.get("reservation")),
            workspace=require_type(document.get("workspace"), str, type(None)),
        )
    except (*UNREADABLE, zlib.error) as error:
        raise RecordUnreadableError(
            f"the record of job {identifier} cannot be read: {error!r}"
        ) from error


def decode_item(row):
    """Decode an item in a job's record, whose body is taken out."""
    return Item(
        identifier=require_type(row["id"], str),
        path=require_type(row["path"], str),
        headers=[
            tuple(require_type(text, str) for text in (name, value))
            for name, value in (
                require_type(pair, list)
                for pair in require_type(row["headers"], list)
            )
        ],
        body=base64.b64decode(row.pop("body"), validate=True),
        tokens=require_type(row.get("tokens", 0), int),
    )


def encode_reservation(reservation):
    """Return a reservation as a JSON value."""
    if reservation is None:
        return None
    return [reservation.quota, reservation.share]


def decode_reservation(value):
    """Return the reservation in a record, None without one."""
    if value is None:
        return None
    quota, share = require_type(value, list)
    return Reservation(
        quota=require_type(quota, str), share=require_type(share, int)
    )


def encode_result(result):
    """Encode a result as the content of its key."""
    state = DONE_STATE if result.is_done else GIVEN_UP_STATE
    return state + b"\n" + result.output


def cut_output(content):
    """Return the content of a result's key without the output."""
    state, separator, _ = content.partition(b"\n")
    return state + separator


def decode_result(key, content):
    """Decode the content of a result's key.

    Raises
    ------
    RecordUnreadableError
        It is cut, or of a build with other states.
    """
    state, separator, output = content.partition(b"\n")
    if not separator or state not in (DONE_STATE, GIVEN_UP_STATE):
        raise RecordUnreadableError(f"the result {key} cannot be read")
    return ItemResult(
        identifier=read_result_item(key),
        is_done=state == DONE_STATE,
        output=output,
    )
