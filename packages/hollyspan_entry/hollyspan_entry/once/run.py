"""Execution of a non-idempotent request."""

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

from .earlier_copy import get_earlier_answer
from .errors import EarlierCopyError
from .record import OnceRecord

__all__ = ["OnceRun"]

STORE_RETRY_AFTER_S = 2.0
# Maximum time for which the answer to the caller is delayed until it is
# stored.
MAX_STORE_WAIT_S = 1.0
STORE_RETRY_DELAYS_S = (0.5, 1.0, 2.0, 5.0, 10.0)


class OnceRun:
    """Runs a request that must not run twice and stores its answer.

    Parameters
    ----------
    runtime : Runtime
    name : str
        Key of the record in the store.
    digest : str
        Digest of the request.
    perform : callable
        Coroutine function that runs the request and returns an Answer. Its
        argument is a coroutine function that it awaits with the upstream and
        the stream identifier before it sends an attempt.
    resume : callable or None
        Coroutine function that takes a record and returns the Answer of the
        run that the record names; None when runs cannot be resumed.
    deadline : float
        Monotonic seconds until which to wait for an earlier copy.

    Notes
    -----
    The run continues when the caller disconnects, because its effect cannot
    be undone and a resend must receive its answer.

    A failure is ``not_run`` only when this run has created the record, so
    that no copy ran before, and none of its attempts can have reached an
    upstream. The record is deleted after the failure was passed to the
    waiting callers, so that no copy can have started before it. The request
    is not sent when the creation of the record cannot be confirmed: without
    the store it is unknown whether another daemon has run an earlier copy,
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
        """Run the request, answer the waiting callers, store the answer."""
        try:
            answer = await self.find_answer()
        except HollyspanError as error:
            await self.fail(error)
            return
        except Exception:
            eliot.write_traceback()
            await self.fail(HollyspanError("internal error"))
            return
        storing = defer.ensureDeferred(self.store_answer(answer))
        limit = task.deferLater(self.runtime.reactor, MAX_STORE_WAIT_S)
        await defer.DeferredList(
            [storing, limit], fireOnOneCallback=True, consumeErrors=True
        )
        limit.cancel()
        self.resolve_waiters(defer.succeed, answer)
        await storing

    async def find_answer(self):
        """Return the answer of this run or of an earlier copy."""
        try:
            return await self.perform(self.record_attempt)
        except EarlierCopyError as error:
            entry = error.entry
        except OverloadedError:
            # The answer of an earlier copy can be returned without capacity.
            entry = await self.read() if self.entry is None else None
            if entry is None:
                raise
        return await get_earlier_answer(self, entry)

    async def record_attempt(self, upstream, stream_id):
        """Store a record of an attempt before the attempt is sent."""
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
                raise OutcomeUnknownError(
                    "an earlier copy has ended"
                ) from error
            raise EarlierCopyError(entry=error.entry) from error
        except StoreConflictError as error:
            raise OutcomeUnknownError(
                "another instance has taken over this request"
            ) from error
        except StoreUnavailableError as error:
            raise StoreUnavailableError(
                "without the store it is unknown whether an earlier copy ran",
                outcome=Outcome.UNKNOWN,
                retry_after=STORE_RETRY_AFTER_S,
            ) from error

    async def write(self, record):
        """Create the record, or replace it if this run has created it."""
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
        """Return the stored entry; None if missing or not readable."""
        try:
            return await self.runtime.store.get(self.name)
        except StoreUnavailableError:
            return None

    async def store_answer(self, answer):
        """Store the answer, with retries while the store is unavailable."""
        if self.record is None or self.record.answer is not None:
            return
        self.record.answer = answer
        for delay in (*STORE_RETRY_DELAYS_S, None):
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
        """Fail the waiting callers, then release the idempotency key."""
        not_run = error.outcome is Outcome.NOT_RUN and self.entry is not None
        if not not_run:
            error.outcome = Outcome.UNKNOWN
        self.resolve_waiters(defer.fail, error)
        try:
            await self.release_key(not_run=not_run)
        except (StoreUnavailableError, StoreConflictError) as store_error:
            eliot.log_message(message_type="once:left", code=store_error.code)

    async def release_key(self, *, not_run):
        """Delete the record if nothing ran, else clear its holder."""
        if self.entry is None:
            return
        if not_run:
            await self.runtime.store.delete(
                self.name, revision=self.entry.revision
            )
        elif self.record is not None and self.record.answer is None:
            self.record.instance = ""
            await self.write(self.record)

    def resolve_waiters(self, create, result):
        """Set the result and fire the Deferreds of the waiting callers."""
        self.result = SharedResult(create=create, value=result)
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            self.result.copy().chainDeferred(waiter)


class SharedResult:
    """Answer or error that any number of callers can await.

    Parameters
    ----------
    create : callable
        ``defer.succeed`` or ``defer.fail``.
    value : Answer or HollyspanError
    """

    __slots__ = ("create", "value")

    def __init__(self, *, create, value):
        self.create = create
        self.value = value

    def copy(self):
        """Return a new Deferred that has already fired with the result."""
        return self.create(self.value)
