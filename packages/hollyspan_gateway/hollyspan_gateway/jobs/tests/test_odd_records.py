"""Tests of records of jobs and results that lack what they must have."""

import base64
import json
import zlib

import pytest
from twisted.internet import defer
from twisted.python.failure import Failure

from hollyspan_core.errors import RecordUnreadableError
from hollyspan_gateway.jobs.item import Item
from hollyspan_gateway.jobs.item import ItemResult
from hollyspan_gateway.jobs.job import Job
from hollyspan_gateway.jobs.records import build_result_key
from hollyspan_gateway.jobs.records import decode_job
from hollyspan_gateway.jobs.records import decode_result
from hollyspan_gateway.jobs.records import encode_job
from hollyspan_gateway.jobs.records import encode_result
from hollyspan_gateway.jobs.reservation import Reservation
from hollyspan_gateway.jobs.view import JobView
from hollyspan_standins.memory import build_job

ITEM = {
    "id": "i",
    "path": "/b/x",
    "headers": [["a", "b"]],
    "body": base64.b64encode(b"x").decode(),
    "tokens": 3,
}
RECORD = {
    "host": "h",
    "path": "/b/",
    "submitted": 1.0,
    "due": 2,
    "retained_until": 3.0,
    "reservation": ["q", 1],
    "workspace": "w",
    "items": [ITEM],
}
# Records of earlier builds lack them.
OPTIONAL = ("reservation", "workspace")
ODD_VALUES = (None, True, [], {}, "5", -1, float("inf"))


def decode(document):
    return decode_job("j", zlib.compress(json.dumps(document).encode()))


def is_odd(sound, value):
    """Return whether a value is not of the type that is due."""
    number = (int, float)
    if type(sound) in number:
        return type(value) not in number or value == float("inf")
    return type(value) is not type(sound)


@pytest.mark.parametrize("field", sorted(set(RECORD) - set(OPTIONAL)))
def test_a_record_without_a_field_is_unreadable(field):
    document = {key: RECORD[key] for key in RECORD if key != field}
    with pytest.raises(RecordUnreadableError):
        decode(document)


@pytest.mark.parametrize("field", ["id", "path", "headers", "body"])
def test_a_record_with_an_item_without_a_field_is_unreadable(field):
    row = {key: ITEM[key] for key in ITEM if key != field}
    with pytest.raises(RecordUnreadableError):
        decode({**RECORD, "items": [ITEM, row]})


@pytest.mark.parametrize("value", ODD_VALUES)
@pytest.mark.parametrize("field", sorted(RECORD))
def test_a_field_of_another_type_is_unreadable(field, value):
    if not is_odd(RECORD[field], value) or (
        field in OPTIONAL and value is None
    ):
        return
    with pytest.raises(RecordUnreadableError):
        decode({**RECORD, field: value})


@pytest.mark.parametrize("value", ODD_VALUES)
@pytest.mark.parametrize("field", sorted(ITEM))
def test_a_field_of_an_item_of_another_type_is_unreadable(field, value):
    if not is_odd(ITEM[field], value) or (field == "body" and value == "5"):
        return
    with pytest.raises(RecordUnreadableError):
        decode({**RECORD, "items": [{**ITEM, field: value}]})


@pytest.mark.parametrize("body", ["*", "YQ", "YQ==\x00", "5"])
def test_an_item_whose_body_is_no_base64_is_unreadable(body):
    with pytest.raises(RecordUnreadableError):
        decode({**RECORD, "items": [{**ITEM, "body": body}]})


@pytest.mark.parametrize("headers", [[["a"]], [["a", 1]], ["ab"], [[1, "b"]]])
def test_an_item_with_odd_headers_is_unreadable(headers):
    with pytest.raises(RecordUnreadableError):
        decode({**RECORD, "items": [{**ITEM, "headers": headers}]})


def test_records_of_earlier_builds_are_read():
    row = {key: ITEM[key] for key in ITEM if key != "tokens"}
    document = {key: RECORD[key] for key in RECORD if key not in OPTIONAL}
    job = decode({**document, "items": [row]})
    assert (job.reservation, job.workspace) == (None, None)
    assert job.items[0].tokens == 0


def test_what_is_written_is_read():
    job = Job(
        identifier="j",
        host="h",
        path="/b/",
        submitted=1.5,
        due=2.5,
        retained_until=3.5,
        items=[
            Item(
                identifier="i",
                path="/b/x",
                headers=[("a", "b")],
                body=b"\x00x",
                tokens=7,
            )
        ],
        reservation=Reservation(quota="q", share=2),
        workspace="w",
    )
    (content,) = encode_job(job).values()
    read = decode_job("j", content[1:])
    assert (read.host, read.path, read.workspace) == ("h", "/b/", "w")
    assert (read.items[0].body, read.items[0].headers) == (
        b"\x00x",
        [("a", "b")],
    )
    assert (read.reservation.quota, read.reservation.share) == ("q", 2)


# Failure: a result that was no result was listed as given up.
@pytest.mark.parametrize(
    "content", [b"", b"done", b"given_up", b"don\nx", b"cancelled\n", b"{}\n"]
)
def test_what_is_no_result_is_not_listed_as_given_up(content):
    with pytest.raises(RecordUnreadableError):
        decode_result(build_result_key("j", "i"), content)


@pytest.mark.parametrize("is_done", [True, False])
def test_results_are_read(is_done):
    result = ItemResult(identifier="i", is_done=is_done, output=b"a\nb")
    read = decode_result(build_result_key("j", "i"), encode_result(result))
    assert (read.identifier, read.is_done, read.output) == (
        "i",
        is_done,
        b"a\nb",
    )


def test_a_read_of_results_fails_until_all_can_be_read(reactor, store, run):
    job = build_job("j", tokens=[1, 1])
    keys = [build_result_key("j", item.identifier) for item in job.items]
    run(store.create({keys[0]: b"done\na"}))
    run(store.create({keys[1]: b"other\nb"}))
    view = JobView(reactor=reactor, store=store, job=job, limit=1_000)
    for _ in range(2):
        ends = []
        work = defer.ensureDeferred(view.wait_for(1, seconds=0.1))
        work.addBoth(ends.append)
        reactor.pump([0.1] * 5)
        (end,) = ends
        assert isinstance(end, Failure)
        assert end.check(RecordUnreadableError)
    assert [each.output for each in view.results] == [b"a"]
