"""Notices that wait for an answer of the owner."""

from .question import Question

__all__ = ["Questions"]

# A datagram may be lost, so a notice is sent once more.
REPEAT_SECONDS = 0.03
# After the repeat; an owner that is silent for so long cannot be counted on.
SILENCE_SECONDS = 0.05


class Questions:
    """Notices without an answer yet.

    Parameters
    ----------
    reactor : IReactorTime
    on_silent : callable
        Called with the owner and an upstream when no answer has come.

    Attributes
    ----------
    waiting : dict
        Question by sequence.
    """

    __slots__ = ("reactor", "on_silent", "waiting")

    def __init__(self, *, reactor, on_silent):
        self.reactor = reactor
        self.on_silent = on_silent
        self.waiting = {}

    def ask(self, owner, *, sequence, upstreams, send):
        """Send a notice and wait for its answer.

        Parameters
        ----------
        owner : str
        sequence : int
        upstreams : sequence of Upstream
        send : callable
            Sends the notice; called without arguments.
        """
        question = Question(
            owner=owner, sequence=sequence, upstreams=upstreams, send=send
        )
        self.waiting[sequence] = question
        send()
        self.call_later(REPEAT_SECONDS, self.repeat, question)

    def call_later(self, seconds, function, question):
        question.timer = self.reactor.callLater(seconds, function, question)

    def repeat(self, question):
        """Send a notice once more."""
        question.send()
        self.call_later(SILENCE_SECONDS, self.wait_turn, question)

    def wait_turn(self, question):
        """Let the loop read the answers that have come by now."""
        self.call_later(0, self.give_up, question)

    def give_up(self, question):
        """Tell that an owner is silent."""
        self.waiting.pop(question.sequence, None)
        for upstream in question.upstreams:
            self.on_silent(question.owner, upstream)

    def take_answer(self, owner, *, sequence):
        """End the wait for the answers up to one.

        Parameters
        ----------
        owner : str
        sequence : int
            Of the latest notice that was taken in.
        """
        for question in list(self.waiting.values()):
            if question.owner == owner and question.sequence <= sequence:
                self.drop(question)

    def drop(self, question):
        del self.waiting[question.sequence]
        if question.timer.active():
            question.timer.cancel()

    def stop(self):
        """Wait for no answer any more."""
        for question in list(self.waiting.values()):
            self.drop(question)
