"""Acknowledgements of notices."""

from .codec import convert_codec_errors
from .codec import PeerMessage

__all__ = ["NoticeAnswer", "build_notice_answer", "read_notice_answer"]


class NoticeAnswer:
    """Acknowledgement that the loads of a notice were processed.

    Parameters
    ----------
    instance : str
        Name of the answering daemon.
    incarnation, sequence : int
        Incarnation of the daemon that sent the notice, and sequence number
        of the notice.
    """

    __slots__ = ("instance", "incarnation", "sequence")

    def __init__(self, *, instance, incarnation, sequence):
        self.instance = instance
        self.incarnation = incarnation
        self.sequence = sequence


def build_notice_answer(answer):
    """Return an answer as a message that can be encoded.

    Parameters
    ----------
    answer : NoticeAnswer

    Returns
    -------
    PeerMessage builder
    """
    message = PeerMessage.new_message()
    target = message.init("noticeAnswer")
    target.instance = answer.instance
    target.incarnation = answer.incarnation
    target.sequence = answer.sequence
    return message


def read_notice_answer(message):
    """Return the answer in a decoded message.

    Parameters
    ----------
    message : PeerMessage reader

    Returns
    -------
    NoticeAnswer

    Raises
    ------
    PeerMessageError
        The message is malformed.
    """
    with convert_codec_errors():
        source = message.noticeAnswer
        return NoticeAnswer(
            instance=source.instance,
            incarnation=source.incarnation,
            sequence=source.sequence,
        )
