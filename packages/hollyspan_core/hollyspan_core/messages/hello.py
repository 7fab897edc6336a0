"""First message of each side of a link between daemons."""

from .codec import convert_codec_errors
from .codec import PeerMessage

__all__ = ["Hello", "build_hello", "read_hello"]


class Hello:
    """Identity of the sender and nonce for the digests of a link.

    Parameters
    ----------
    instance, data_centre, region : str
    nonce : bytes
        Random bytes chosen by the sender.
    """

    __slots__ = ("instance", "data_centre", "region", "nonce")

    def __init__(self, *, instance, data_centre, region, nonce):
        self.instance = instance
        self.data_centre = data_centre
        self.region = region
        self.nonce = nonce


def build_hello(hello):
    """Return a hello as a message that can be encoded.

    Parameters
    ----------
    hello : Hello

    Returns
    -------
    PeerMessage builder
    """
    message = PeerMessage.new_message()
    target = message.init("hello")
    target.instance = hello.instance
    target.dataCentre = hello.data_centre
    target.region = hello.region
    target.nonce = hello.nonce
    return message


def read_hello(message):
    """Return the hello in a decoded message.

    Parameters
    ----------
    message : PeerMessage reader

    Returns
    -------
    Hello

    Raises
    ------
    PeerMessageError
        The message is malformed or of another type.
    """
    with convert_codec_errors():
        source = message.hello
        return Hello(
            instance=source.instance,
            data_centre=source.dataCentre,
            region=source.region,
            nonce=bytes(source.nonce),
        )
