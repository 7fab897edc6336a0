"""Bounds on what a process reads of other programs together."""

import contextlib

import eliot

from hollyspan_core.errors import IntakeExceededError
from hollyspan_policy.intake import ByteBudget
from hollyspan_policy.intake import WorkShares

__all__ = ["BYTES_PER_WORK", "Intake", "WORK_PER_TURN", "count_pieces"]

MIB = 1024 * 1024
# Work is counted in units of about 10 microseconds: a chunk, an event or a
# field takes one.
WORK_PER_TURN = 4
BYTES_PER_WORK = 16 * 1024
# All tokens of a gateway may come from one sender, 2,300 a second of six
# units each.
SENDER_WORK_RATE = 16_000.0
SENDER_WORK_BURST = 8_000.0
# A fifth of a loop for all senders over their shares.
EXCESS_WORK_RATE = 20_000.0
# Bytes of answers that are kept at once: of all senders, and of one, such as
# two reads of large jobs at a peer.
KEPT_BYTES = 64 * MIB
KEPT_BYTES_PER_SENDER = 16 * MIB
# First bytes of each answer, which are not counted: usual answers are
# shorter, and do not fail when others have used up the bytes to be kept.
UNCOUNTED_BYTES = 64 * 1024
# Interval between two log lines on one sender.
LOG_INTERVAL_S = 10.0
MAX_LOGGED_SENDERS = 4096
EVENT_SEPARATOR = b"\n\n"


class Intake:
    """Work and memory that the answers of other programs take.

    Parameters
    ----------
    reactor : IReactorTime
    kept_bytes, kept_bytes_per_sender : int, optional
        Bytes of answers that are kept at once.

    Attributes
    ----------
    shares : WorkShares
    budget : ByteBudget
    sender_budgets : dict
        ByteBudget by sender, of those that have answers in progress.
    """

    __slots__ = (
        "reactor",
        "kept_bytes_per_sender",
        "shares",
        "budget",
        "sender_budgets",
        "open_answers",
        "logged_at",
    )

    def __init__(
        self,
        *,
        reactor,
        kept_bytes=KEPT_BYTES,
        kept_bytes_per_sender=KEPT_BYTES_PER_SENDER,
    ):
        self.reactor = reactor
        self.kept_bytes_per_sender = kept_bytes_per_sender
        self.shares = WorkShares(
            rate=SENDER_WORK_RATE,
            burst=SENDER_WORK_BURST,
            excess_rate=EXCESS_WORK_RATE,
        )
        self.budget = ByteBudget(what="answers", limit=kept_bytes)
        self.sender_budgets = {}
        self.open_answers = {}
        self.logged_at = {}

    def charge(self, sender, work):
        """Charge a sender; return the seconds until more may be read."""
        wait = self.shares.charge(sender, work, now=self.reactor.seconds())
        if wait > 0.0:
            self.log_excess(sender, wait)
        return wait

    def find_wait(self, sender):
        """Return the seconds until a sender may be read, 0 for at once."""
        return self.shares.find_wait(sender, now=self.reactor.seconds())

    def log_excess(self, sender, wait):
        now = self.reactor.seconds()
        logged_at = self.logged_at.get(sender)
        if logged_at is not None and now - logged_at < LOG_INTERVAL_S:
            return
        self.logged_at.pop(sender, None)
        self.logged_at[sender] = now
        if len(self.logged_at) > MAX_LOGGED_SENDERS:
            self.logged_at.pop(next(iter(self.logged_at)))
        eliot.log_message(
            "intake:over_share",
            sender=format_sender(sender),
            seconds=wait,
            senders=len(self.shares.excess),
        )

    @contextlib.contextmanager
    def open_account(self, sender):
        """Keep bytes of one answer until the end of the context.

        Parameters
        ----------
        sender : hashable

        Yields
        ------
        callable
            Called with the number of bytes that are kept of the answer;
            raises IntakeExceededError when there are too many in all.
        """
        own_budget = self.sender_budgets.get(sender)
        if own_budget is None:
            own_budget = self.sender_budgets[sender] = ByteBudget(
                what=f"what {format_sender(sender)} answers",
                limit=self.kept_bytes_per_sender,
            )
        self.open_answers[sender] = self.open_answers.get(sender, 0) + 1
        counted = 0
        try:
            with (
                own_budget.open_account() as keep_own,
                self.budget.open_account() as keep,
            ):

                def note_kept(size):
                    nonlocal counted
                    change = max(0, size - UNCOUNTED_BYTES) - counted
                    if not change:
                        return
                    try:
                        keep_own(change)
                        keep(change)
                    except IntakeExceededError as error:
                        eliot.log_message(
                            "intake:too_many_bytes",
                            sender=format_sender(sender),
                            kept=self.budget.kept,
                            reason=error.message,
                        )
                        raise
                    counted += change

                yield note_kept
        finally:
            self.open_answers[sender] -= 1
            if not self.open_answers[sender]:
                del self.open_answers[sender], self.sender_budgets[sender]


def count_pieces(data):
    """Return the pieces in a part of a body: itself, and events in it."""
    return 1 + data.count(EVENT_SEPARATOR)


def format_sender(sender):
    """Return the address of a sender as text."""
    return "unknown" if sender is None else f"{sender[0]}:{sender[1]}"
