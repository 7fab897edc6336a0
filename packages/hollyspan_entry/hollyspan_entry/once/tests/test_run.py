import time
import types

from twisted.internet import defer
from twisted.internet import reactor
from twisted.trial import unittest

from hollyspan_core.errors import IdempotencyMismatchError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import OutcomeUnknownError
from hollyspan_core.errors import OverloadedError
from hollyspan_core.errors import StoreConflictError
from hollyspan_core.errors import StoreKeyExistsError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import UpstreamUnavailableError
from hollyspan_entry.once import Answer
from hollyspan_entry.once import OnceRecord
from hollyspan_entry.once import run_once
from hollyspan_entry.store import Entry
from hollyspan_policy.membership import MemberTable

NAME = "once/dev/k"
UPSTREAM = types.SimpleNamespace(name="engine-1")
ANSWER = Answer(status=200, content_type="a/b", body=b"done")


class MemoryStore:
    """In-memory store of single keys with revisions and optional outage."""

    def __init__(self):
        self.entries = {}
        self.revision = 0
        self.is_unavailable = False
        self.log = []

    def check(self):
        if self.is_unavailable:
            raise StoreUnavailableError("out", outcome=Outcome.NOT_RUN)

    def put(self, key, content):
        self.revision += 1
        entry = Entry(
            key=key,
            content=content,
            token=b"",
            revision=self.revision,
            lease=0,
        )
        self.entries[key] = entry
        return entry

    async def get(self, key):
        self.check()
        return self.entries.get(key)

    async def create(self, key, content):
        self.check()
        self.log.append("create")
        if key in self.entries:
            raise StoreKeyExistsError("exists", entry=self.entries[key])
        return self.put(key, content)

    async def replace(self, key, content, *, revision):
        self.check()
        self.log.append("replace")
        found = self.entries.get(key)
        if found is None or found.revision != revision:
            raise StoreConflictError("changed", entry=found)
        return self.put(key, content)

    async def delete(self, key, *, revision):
        self.check()
        self.log.append("delete")
        del self.entries[key]


class RunOnceTest(unittest.TestCase):
    def setUp(self):
        self.store = MemoryStore()
        self.runs = {}
        self.count = 0

    def build_runtime(self, instance):
        return types.SimpleNamespace(
            settings=types.SimpleNamespace(instance=instance),
            incarnation=1,
            reactor=reactor,
            store=self.store,
            members=MemberTable(timeout=1.0),
        )

    async def perform(self, record_attempt):
        await record_attempt(UPSTREAM, "s-0")
        self.count += 1
        return ANSWER

    def run_copy(self, *, instance="a-1", digest="d", **details):
        return defer.ensureDeferred(
            run_once(
                runtime=self.build_runtime(instance),
                runs=self.runs if instance == "a-1" else {},
                name=NAME,
                digest=digest,
                **{
                    "perform": self.perform,
                    "resume": None,
                    "deadline": time.monotonic() + 5.0,
                    **details,
                },
            )
        )

    async def fail(self, error, *, before=False):
        async def perform(record_attempt):
            if not before:
                await record_attempt(UPSTREAM, "s-0")
            raise error

        return await self.assertFailure(
            self.run_copy(perform=perform), type(error)
        )

    async def test_resend_through_another_daemon_gets_the_answer(self):
        await self.run_copy()
        answer = await self.run_copy(instance="a-2")
        self.assertEqual(answer.body, b"done")
        self.assertEqual(self.count, 1)

    async def test_copies_in_one_daemon_share_one_run(self):
        copies = [self.run_copy() for _ in range(3)]
        answers = [(await copy).body for copy in copies]
        self.assertEqual((answers, self.count), ([b"done"] * 3, 1))

    async def test_another_body(self):
        await self.run_copy()
        error = await self.assertFailure(
            self.run_copy(digest="e"), IdempotencyMismatchError
        )
        self.assertIs(error.outcome, Outcome.UNKNOWN)

    async def test_not_run_request_releases_the_key(self):
        error = await self.fail(
            UpstreamUnavailableError("refused", outcome=Outcome.NOT_RUN)
        )
        self.assertIs(error.outcome, Outcome.NOT_RUN)
        self.assertEqual(self.store.log, ["create", "delete"])
        await self.run_copy(instance="a-2")
        self.assertEqual(self.count, 1)

    async def test_rejection_before_the_store_is_read_is_unknown(self):
        error = await self.fail(OverloadedError("full"), before=True)
        self.assertIs(error.outcome, Outcome.UNKNOWN)

    async def test_full_instance_returns_the_stored_answer(self):
        await self.run_copy()

        async def reject(record_attempt):
            raise OverloadedError("full")

        answer = await self.run_copy(instance="a-2", perform=reject)
        self.assertEqual(answer.body, b"done")

    async def test_run_with_lost_stream_is_not_repeated(self):
        await self.fail(StreamLostError("lost"))
        await self.assertFailure(
            self.run_copy(instance="a-2"), OutcomeUnknownError
        )
        self.assertEqual(self.count, 0)

    async def test_stream_of_a_failed_daemon_is_resumed(self):
        record = OnceRecord(
            digest="d",
            upstream="engine-1",
            stream="s-0",
            instance="a-9",
            incarnation=3,
        )
        self.store.put(NAME, record.encode())
        resumed = []

        async def resume(record):
            resumed.append(record.stream)
            return ANSWER

        await self.run_copy(resume=resume)
        again = await self.run_copy(instance="a-2")
        self.assertEqual((resumed, again.body), (["s-0"], b"done"))

    async def test_unreachable_store(self):
        self.store.is_unavailable = True
        error = await self.assertFailure(
            self.run_copy(), StoreUnavailableError
        )
        self.assertIs(error.outcome, Outcome.UNKNOWN)
        self.assertEqual(self.count, 0)
