"""One run of a non-idempotent request."""

import eliot
from twisted.internet import defer
from twisted.internet import task

from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import OutcomeUnknownError
from hollyspan_core.errors import OverloadedError
from hollyspan_core.errors import StoreConflictError
from hollyspan_core.errors import StoreKeyExistsError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_core.errors import StoreValueTooLargeError

from .earlier import follow_earlier
from .found import EarlierCopyError
from .record import OnceRecord

__all__ = ["OnceRun"]

STORE_RETRY_SECONDS = 2.0
# Time for which the answer waits for the store before the caller gets it.
KEEP_SECONDS = 1.0
KEEP_DELAYS = (0.5, 1.0, 2.0, 5.0, 10.0)


class OnceRun:
    """Runs a request that must not run twice, and keeps its answer.

    Parameters
    ----------
    runtime : Runtime
    name : str
        Key in the store.
    digest : str
        Digest of the request.
    perform : callable
        Coroutine function that runs the request and returns an Answer. It
        is given a coroutine function to await with the upstream and the
        stream identifier before anything of an attempt is sent.
    resume : callable or None
        Coroutine function that is given a record and returns the Answer of
        the run that it names; None where nothing can be resumed.
    deadline : float
        Monotonic seconds until which an earlier copy is waited for.

    Notes
    -----
    The run goes on when the caller leaves, since its effect cannot be
    taken back and a resend is to get its answer.

    A refusal is ``not_run`` only when this run has created the record, so
    that no copy ran before, and all its attempts are known not to have
    reached an upstream. The record is deleted after the refusal has been
    written, so that no copy can have begun before it. A record whose
    creation cannot be confirmed is never acted upon: with the store out of
    reach nobody can tell whether another daemon has run an earlier copy,
    and the outcome is ``unknown``.
    """

    __slots__ = (
        "runtime",
        "name",
        "digest",
        "perform",
        "resume",
        "deadline",
        "entry",
        "record",
        "waiters",
        "result",
    )

    def __init__(self, *, runtime, name, digest, perform, resume, deadline):
        self.runtime = runtime
        self.name = name
        self.digest = digest
        self.perform = perform
        self.resume = resume
        self.deadline = deadline
        self.entry = None
        self.record = None
        self.waiters = []
        self.result = None

    def wait(self):
        """Return a Deferred that fires with the answer or the failure."""
        if self.result is not None:
            return self.result.copy()
        waiter = defer.Deferred(self.waiters.remove)
        self.waiters.append(waiter)
        return waiter

    async def execute(self):
        """Run the request, answer those who wait, keep the answer."""
        try:
            answer = await self.find_answer()
        except HollyspanError as error:
            await self.fail(error)
            return
        except Exception:
            eliot.write_traceback()
            await self.fail(HollyspanError("internal error"))
            return
        kept = defer.ensureDeferred(self.keep(answer))
        limit = task.deferLater(self.runtime.reactor, KEEP_SECONDS)
        await defer.DeferredList(
            [kept, limit], fireOnOneCallback=True, consumeErrors=True
        )
        limit.cancel()
        self.settle(defer.succeed, answer)
        await kept

    async def find_answer(self):
        """Return the answer of this run or of an earlier copy."""
        try:
            return await self.perform(self.begin)
        except EarlierCopyError as found:
            entry = found.entry
        except OverloadedError:
            # An earlier copy can be answered even when nothing new can run.
            entry = await self.read() if self.entry is None else None
            if entry is None:
                raise
        return await follow_earlier(self, entry)

    async def begin(self, upstream, stream_id):
        """Record an attempt before anything of it is sent."""
        settings = self.runtime.settings
        record = OnceRecord(
            digest=self.digest,
            upstream=upstream.name,
            stream=stream_id,
            instance=settings.instance,
            incarnation=self.runtime.incarnation,
        )
        try:
            await self.write(record)
        except StoreKeyExistsError as error:
            if error.entry is None:
                raise OutcomeUnknownError("an earlier copy ended") from error
            raise EarlierCopyError(entry=error.entry) from error
        except StoreConflictError as error:
            raise OutcomeUnknownError(
                "another instance took this request over"
            ) from error
        except StoreUnavailableError as error:
            raise StoreUnavailableError(
                "the store cannot tell whether an earlier copy ran",
                outcome=Outcome.UNKNOWN,
                retry_after=STORE_RETRY_SECONDS,
            ) from error

    async def write(self, record):
        """Create the record, or replace the one that this run holds."""
        store = self.runtime.store
        content = record.encode()
        if self.entry is None:
            self.entry = await store.create(self.name, content)
        else:
            self.entry = await store.replace(
                self.name, content, revision=self.entry.revision
            )
        self.record = record

    async def read(self):
        """Return the entry in the store, or None when it tells nothing."""
        try:
            return await self.runtime.store.get(self.name)
        except StoreUnavailableError:
            return None

    async def keep(self, answer):
        """Store the answer; try again while the store is out of reach."""
        if self.record is None or self.record.answer is not None:
            return
        self.record.answer = answer
        for delay in (*KEEP_DELAYS, None):
            try:
                await self.write(self.record)
                return
            except (StoreConflictError, StoreValueTooLargeError) as error:
                eliot.log_message(message_type="once:lost", code=error.code)
                return
            except StoreUnavailableError as error:
                eliot.log_message(message_type="once:late", code=error.code)
            if delay is not None:
                await task.deferLater(self.runtime.reactor, delay)

    async def fail(self, error):
        """Tell those who wait, then give the key back if nothing ran."""
        not_run = error.outcome is Outcome.NOT_RUN and self.entry is not None
        if not not_run:
            error.outcome = Outcome.UNKNOWN
        self.settle(defer.fail, error)
        try:
            await self.give_up(not_run=not_run)
        except (StoreUnavailableError, StoreConflictError) as failure:
            eliot.log_message(message_type="once:left", code=failure.code)

    async def give_up(self, *, not_run):
        """Delete the record of a run that sent nothing; release others."""
        if self.entry is None:
            return
        if not_run:
            await self.runtime.store.delete(
                self.name, revision=self.entry.revision
            )
        elif self.record is not None and self.record.answer is None:
            self.record.instance = ""
            await self.write(self.record)

    def settle(self, create, result):
        """Give the result to those who wait, now and later."""
        self.result = Result(create=create, value=result)
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            self.result.copy().chainDeferred(waiter)


class Result:
    """Answer or failure that any number of callers can await.

    Parameters
    ----------
    create : callable
        ``defer.succeed`` or ``defer.fail``.
    value : object
    """

    __slots__ = ("create", "value")

    def __init__(self, *, create, value):
        self.create = create
        self.value = value

    def copy(self):
        """Return a Deferred that has fired with the result."""
        return self.create(self.value)
