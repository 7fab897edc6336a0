"""Fixtures of jobs in an in-memory store."""

import itertools

import pytest

from hollyspan_entry.files.keys import build_manifest_key
from hollyspan_entry.files.manifest import encode_manifest
from hollyspan_entry.files.manifest import FileManifest
from hollyspan_entry.jobs.intake.creation import create_job
from hollyspan_entry.jobs.intake.spec import parse_spec
from hollyspan_entry.jobs.results.item_record import ItemRecord
from hollyspan_entry.jobs.results.item_record import RecordKind
from hollyspan_entry.jobs.results.ledger import read_ledger
from hollyspan_entry.jobs.running.attempts import open_attempt_counts
from hollyspan_entry.jobs.running.chunk import HeldChunk
from hollyspan_entry.jobs.running.item import Item

FILE = "file-1"
SPEC = {"input_file_id": FILE, "endpoint": "/v1/completions"}


@pytest.fixture
def manifest(store, run):
    """Store a file with a chunk of two items and a chunk of one."""
    manifest = FileManifest(
        file=FILE,
        data="d",
        filename="a.jsonl",
        purpose="batch",
        size=10,
        digest="",
        created_at=1,
        items=[2, 1],
        urls=["/v1/completions"],
        models=["m"],
    )
    run(store.create(build_manifest_key("w", FILE), encode_manifest(manifest)))
    return manifest


@pytest.fixture
def create(store, run, manifest):
    """Return a function that creates a job."""

    def create(*, workspace="w", key=None, **changes):
        spec = parse_spec({**SPEC, **changes})
        return run(
            create_job(
                store,
                workspace,
                spec,
                key=key,
                is_idempotent=lambda models: True,
            )
        )

    return create


@pytest.fixture
def hold(store, run):
    """Return a function that builds a held chunk, as after a claim."""

    claims = itertools.count(1)

    def hold(record, *, chunk=0):
        items = [
            Item(
                index=index,
                number=index,
                custom_id=f"i{index}",
                url="/v1/completions",
                body={"model": "m"},
            )
            for index in range(record.items[chunk])
        ]
        return HeldChunk(
            record=record,
            chunk=chunk,
            revision=next(claims),
            attempt_counts=run(open_attempt_counts(store, record.job, chunk)),
            ledger=run(
                read_ledger(
                    store, job=record.job, chunk=chunk, items=len(items)
                )
            ),
            items=items,
            now=0.0,
        )

    return hold


@pytest.fixture
def result():
    """Return a function that builds the result record of an item."""

    def build(item, *, kind=RecordKind.COMPLETED, text=""):
        line = {"custom_id": f"i{item}", "text": text}
        return ItemRecord(item=item, kind=kind, line=line)

    return build
