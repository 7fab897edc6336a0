"""Notices of arriving online requests."""

from .codec import convert_codec_errors
from .codec import PeerMessage
from .in_flight import read_in_flight
from .in_flight import write_in_flight

__all__ = ["Notice", "build_notice", "read_notice"]


class Notice:
    """Increased load, sent immediately to the owner of the upstreams.

    Parameters
    ----------
    instance : str
    incarnation, sequence : int
        Position among the heartbeats and notices of the sender.
    in_flight : sequence of InFlight
    wants_answer : bool, optional
        Whether the sender waits for an answer.
    """

    __slots__ = (
        "instance",
        "incarnation",
        "sequence",
        "in_flight",
        "wants_answer",
    )

    def __init__(
        self,
        *,
        instance,
        incarnation,
        sequence,
        in_flight,
        wants_answer=False,
    ):
        self.instance = instance
        self.incarnation = incarnation
        self.sequence = sequence
        self.in_flight = in_flight
        self.wants_answer = wants_answer


def build_notice(notice):
    """Return a notice as a message that can be encoded.

    Parameters
    ----------
    notice : Notice

    Returns
    -------
    PeerMessage builder
    """
    message = PeerMessage.new_message()
    target = message.init("notice")
    target.instance = notice.instance
    target.incarnation = notice.incarnation
    target.sequence = notice.sequence
    target.isAnswered = notice.wants_answer
    entries = target.init("inFlight", len(notice.in_flight))
    write_in_flight(notice.in_flight, entries)
    return message


def read_notice(message):
    """Return the notice in a decoded message.

    Parameters
    ----------
    message : PeerMessage reader

    Returns
    -------
    Notice

    Raises
    ------
    PeerMessageError
        The message is malformed.
    """
    with convert_codec_errors():
        source = message.notice
        return Notice(
            instance=source.instance,
            incarnation=source.incarnation,
            sequence=source.sequence,
            in_flight=read_in_flight(source.inFlight),
            wants_answer=source.isAnswered,
        )
