"""State machine of jobs, results and ends under a limit, with faults."""

import types

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
from twisted.internet import defer
from twisted.internet import task

from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import QuotaExceededError
from hollyspan_core.store import TOKEN_BYTES
from hollyspan_gateway.jobs import ItemResult
from hollyspan_gateway.jobs.job_state import ItemState
from hollyspan_gateway.jobs.job_state import JobState
from hollyspan_gateway.jobs.quota import QuotaLedger
from hollyspan_gateway.jobs.quota_records import build_counters_prefix
from hollyspan_gateway.jobs.quota_records import build_quota_identifier
from hollyspan_gateway.jobs.quota_records import build_release_key
from hollyspan_gateway.jobs.quota_records import decode_counters
from hollyspan_gateway.jobs.records import build_end_key
from hollyspan_gateway.jobs.records import build_job_key
from hollyspan_gateway.jobs.records import build_result_key
from hollyspan_gateway.jobs.records import decode_job
from hollyspan_gateway.jobs.releases import ReleaseWriter
from hollyspan_gateway.store import Store
from hollyspan_standins.memory import build_job
from hollyspan_standins.memory import build_route
from hollyspan_standins.memory import MemoryWire

GATEWAYS = ("f1", "f2", "f3")
WORKERS = ("w1", "w2")
# Longer than all attempts of one write.
SETTLING_S = 20.0
# Multiples of the number of shares, so that no token is lost to rounding.
LIMITS = st.sampled_from((80, 160, 400))
SIZES = st.lists(st.integers(1, 60), min_size=1, max_size=3)
# A stale answer of the store is seconds old.
MAX_STALE_AGE_S = 5.0


class QuotaMachine(stateful.RuleBasedStateMachine):
    """Gateways and workers of one route over a store with faults."""

    def __init__(self):
        super().__init__()
        self.reactor = task.Clock()
        self.wire = MemoryWire(reactor=self.reactor)
        tokens = iter(range(1, 1_000_000))
        self.store = Store(
            wire=self.wire,
            reactor=self.reactor,
            create_token=lambda: next(tokens).to_bytes(TOKEN_BYTES, "big"),
        )
        self.stale_since = 0.0
        self.limit = 160
        self.jobs = {}
        self.ends_to_release = set()
        self.ledgers = {name: self.build_ledger(name) for name in GATEWAYS}
        self.writers = {name: self.build_writer(name) for name in WORKERS}
        self.note_limits()
        self.reactor.advance(SETTLING_S)

    def note_limits(self):
        for ledger in self.ledgers.values():
            ledger.note_limits([self.build_route()])

    def build_gateway(self, name):
        return types.SimpleNamespace(
            reactor=self.reactor,
            store=self.store,
            settings=types.SimpleNamespace(instance=name),
        )

    def build_ledger(self, name):
        return QuotaLedger(gateway=self.build_gateway(name))

    def build_writer(self, name):
        return ReleaseWriter(gateway=self.build_gateway(name))

    def build_route(self):
        return build_route(name="b", max_waiting_tokens=self.limit)

    def settle(self, work):
        """Run a coroutine; return its result, or its error."""
        results = []
        defer.ensureDeferred(work).addBoth(results.append)
        end = self.reactor.seconds() + SETTLING_S
        while not results and self.reactor.seconds() < end:
            self.reactor.advance(0.1)
        if not results:
            return None
        failure = results[0]
        if hasattr(failure, "value"):
            assert isinstance(failure.value, HollyspanError), failure
            return failure.value
        return failure

    def is_stored(self, name):
        return build_job_key(name) in self.wire.entries

    def list_stored(self):
        return [name for name in self.jobs if self.is_stored(name)]

    def count_waiting(self):
        """Count the tokens that wait, from the stored records alone."""
        waiting = 0
        for name in self.list_stored():
            if build_end_key(name) in self.wire.entries:
                continue
            waiting += sum(
                item.tokens
                for item in self.jobs[name].items
                if build_result_key(name, item.identifier)
                not in self.wire.entries
            )
        return waiting

    def count_as_stored(self):
        """Count the tokens that wait, from the counters alone."""
        quota = build_quota_identifier("b")
        prefix = build_counters_prefix(quota)
        entries = [
            entry
            for key, entry in self.wire.entries.items()
            if key.startswith(prefix)
        ]
        shares, _, released = decode_counters(entries, quota=quota)
        assert sum(share.borrowed for share in shares) == 0
        return sum(share.accepted for share in shares) - sum(released)

    @stateful.invariant()
    def the_count_is_never_too_small(self):
        assert self.count_as_stored() >= self.count_waiting()

    def teardown(self):
        """Let all faults end; then the count is exact."""
        self.wire.replies_to_lose = 0
        self.wire.writes_to_lose = 0
        self.wire.writes_to_delay = 0
        self.wire.apply_delayed_writes()
        self.reactor.advance(SETTLING_S)
        for name in self.list_stored():
            if build_end_key(name) in self.wire.entries:
                self.release(name, "w1")
        assert self.count_as_stored() == self.count_waiting()

    def is_count_exact(self):
        return (
            not self.ends_to_release
            and not self.wire.delayed_writes
            and not any(writer.queue for writer in self.writers.values())
        )

    def submit(self, gateway, name):
        job = self.jobs[name]
        if self.reactor.seconds() - self.stale_since > MAX_STALE_AGE_S:
            self.wire.stale_entries = None
        waiting = self.count_waiting()
        is_repeat = self.is_stored(name)
        outcome = self.settle(
            self.ledgers[gateway].create_record(job, self.build_route())
        )
        if isinstance(outcome, bool):
            assert self.is_stored(name)
            assert is_repeat or self.count_waiting() <= self.limit
        elif isinstance(outcome, QuotaExceededError):
            assert not is_repeat
            assert not self.is_stored(name)
            if self.is_count_exact():
                assert waiting + job.count_tokens() > self.limit

    @stateful.rule(gateway=st.sampled_from(GATEWAYS), sizes=SIZES)
    def accept(self, gateway, sizes):
        name = f"j{len(self.jobs)}"
        self.jobs[name] = build_job(name, tokens=sizes)
        self.submit(gateway, name)

    @stateful.precondition(lambda self: self.jobs)
    @stateful.rule(gateway=st.sampled_from(GATEWAYS), data=st.data())
    def repeat(self, gateway, data):
        self.submit(gateway, data.draw(st.sampled_from(sorted(self.jobs))))

    @stateful.precondition(lambda self: self.list_stored())
    @stateful.rule(
        worker=st.sampled_from(WORKERS),
        is_done=st.booleans(),
        data=st.data(),
    )
    def end_item(self, worker, is_done, data):
        job = self.draw_stored_job(data)
        item = data.draw(st.sampled_from(job.items))
        state = ItemState(
            job_state=JobState(job=job, revision=1, has_read_results=True),
            item=item,
            key=1,
        )
        state.result = ItemResult(
            identifier=item.identifier, is_done=is_done, output=b""
        )
        self.settle(self.writers[worker].store_result(state))

    @stateful.precondition(lambda self: self.list_stored())
    @stateful.rule(data=st.data())
    def end_job(self, data):
        name = self.draw_stored_job(data).identifier
        if build_end_key(name) not in self.wire.entries:
            self.wire.change({build_end_key(name): bytes(TOKEN_BYTES)})
            self.ends_to_release.add(name)

    @stateful.precondition(lambda self: self.ends_to_release)
    @stateful.rule(worker=st.sampled_from(WORKERS), data=st.data())
    def release_ended_job(self, worker, data):
        name = data.draw(st.sampled_from(sorted(self.ends_to_release)))
        self.release(name, worker)
        # A second worker may not know that the first one has done it.
        if data.draw(st.booleans()) and self.is_released(name):
            self.ends_to_release.discard(name)

    def is_released(self, name):
        key = build_release_key(build_quota_identifier("b"), name)
        return key in self.wire.entries

    def release(self, name, worker):
        end = self.wire.entries[build_end_key(name)]
        self.settle(
            self.writers[worker].release_rest(
                self.load_job(name), end_revision=end.created_revision
            )
        )

    @stateful.rule(limit=LIMITS)
    def change_limit(self, limit):
        self.limit = limit
        self.note_limits()

    @stateful.rule(name=st.sampled_from(GATEWAYS + WORKERS))
    def kill(self, name):
        if name in GATEWAYS:
            self.ledgers[name] = self.build_ledger(name)
            self.ledgers[name].note_limits([self.build_route()])
        else:
            self.writers[name].queue.clear()
            self.writers[name] = self.build_writer(name)

    @stateful.rule()
    def wait_until_limits_are_settled(self):
        self.reactor.advance(SETTLING_S)

    @stateful.rule()
    def keep_stale_view(self):
        self.wire.stale_entries = dict(self.wire.entries)
        self.stale_since = self.reactor.seconds()

    @stateful.rule(
        fault=st.sampled_from(
            ("replies_to_lose", "writes_to_lose", "writes_to_delay")
        ),
        count=st.integers(1, 5),
    )
    def lose_writes(self, fault, count):
        setattr(self.wire, fault, count)

    @stateful.rule()
    def apply_delayed_writes(self):
        self.wire.apply_delayed_writes()

    def draw_stored_job(self, data):
        return self.load_job(
            data.draw(st.sampled_from(sorted(self.list_stored())))
        )

    def load_job(self, name):
        entry = self.wire.entries[build_job_key(name)]
        return decode_job(name, entry.content[1:])


TestQuotaMachine = QuotaMachine.TestCase
TestQuotaMachine.settings = settings(
    derandomize=True, max_examples=250, stateful_step_count=40, deadline=None
)
