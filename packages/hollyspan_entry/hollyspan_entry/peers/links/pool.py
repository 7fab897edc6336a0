"""Links from this daemon to others."""

import contextlib

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import protocol
import zstandard

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import PeerMessageError
from hollyspan_core.errors import PeerUnavailableError
from hollyspan_core.messages import convert_codec_errors
from hollyspan_core.messages import PeerMessage

from .call import Call
from .failure import decode_failure
from .link import Link

__all__ = ["Links"]

ASK_SECONDS = 3.0
MAX_DOCUMENT_BYTES = 4_000_000


class Links:
    """Opens links and makes calls on them.

    Parameters
    ----------
    runtime : Runtime

    Attributes
    ----------
    by_address : dict
        Link by PeerAddress.
    providers : dict
        Functions without arguments that return the JSON document of a kind
        of statistics, by kind.
    """

    __slots__ = ("runtime", "by_address", "providers", "last_call")

    def __init__(self, *, runtime):
        self.runtime = runtime
        self.by_address = {}
        self.providers = {}
        self.last_call = 0

    async def pull_configuration(self, member, *, above):
        """Ask a peer for its configuration.

        Parameters
        ----------
        member : Member or Seed
        above : int
            Only a higher generation is of interest.

        Returns
        -------
        bytes
            JSON; empty when the peer has no higher one.

        Raises
        ------
        PeerUnavailableError, PeerMessageError
        """
        message = PeerMessage.new_message()
        message.init("configurationPull").above = above
        answer = await self.ask(member, message)
        return read_document(answer, kind="configurationDocument")

    async def pull_statistics(self, member, *, kind):
        """Ask a peer for statistics.

        Parameters
        ----------
        member : Member or Seed
        kind : str

        Returns
        -------
        bytes
            JSON.

        Raises
        ------
        PeerUnavailableError, PeerMessageError
        """
        message = PeerMessage.new_message()
        message.init("statisticsPull").kind = kind
        answer = await self.ask(member, message)
        return read_document(answer, kind="statistics")

    async def ask(self, member, message):
        """Make a call that has one answer.

        Parameters
        ----------
        member : Member or Seed
        message : PeerMessage builder

        Returns
        -------
        PeerMessage reader
        """
        link = await self.open(member)
        with self.open_call(link, on_message=take_answer) as call:
            message.call = call.number
            link.send(message)
            call.done.addTimeout(ASK_SECONDS, self.runtime.reactor)
            try:
                return await call.done
            except defer.TimeoutError as failure:
                raise PeerUnavailableError(
                    "a peer did not answer"
                ) from failure

    @contextlib.contextmanager
    def open_call(self, link, *, on_message):
        """Number a call and forget it at the end.

        Parameters
        ----------
        link : Link
        on_message : callable
            Takes the call and each answer.

        Yields
        ------
        Call
        """
        self.last_call += 1
        call = Call(number=self.last_call, on_message=on_message)
        link.calls[call.number] = call
        try:
            yield call
        finally:
            link.calls.pop(call.number, None)

    async def open(self, member):
        """Return a link to a peer; both sides are proved.

        Parameters
        ----------
        member : Member or Seed

        Returns
        -------
        Link

        Raises
        ------
        PeerUnavailableError
            Nothing was sent.
        """
        # The list may lead through another address than the peer's own.
        seed = self.runtime.seeds.get(member.instance, member)
        address = (seed.address, seed.peer_port)
        link = self.by_address.get(address)
        work = defer.ensureDeferred(self.prepare(link, address))
        timeout = 2 * self.runtime.settings.timing.connect_timeout
        work.addTimeout(timeout, self.runtime.reactor)
        try:
            return await work
        except (
            defer.TimeoutError,
            error.ConnectError,
            error.ConnectingCancelledError,
            PeerUnavailableError,
        ) as failure:
            raise PeerUnavailableError(
                f"no link to {member.instance}", outcome=Outcome.NOT_RUN
            ) from failure

    async def prepare(self, link, address):
        if link is None or link.is_ended:
            link = await self.connect(address)
            self.by_address[address] = link
        await link.wait_proved()
        return link

    async def connect(self, address):
        host, port = address
        endpoint = endpoints.TCP4ClientEndpoint(
            self.runtime.reactor,
            host,
            port,
            timeout=self.runtime.settings.timing.connect_timeout,
        )
        factory = protocol.Factory.forProtocol(self.build_link)
        factory.noisy = False
        return await endpoint.connect(factory)

    def build_link(self):
        return Link(
            runtime=self.runtime,
            is_server=False,
            receive=receive_answer,
            on_end=self.end_link,
        )

    def end_link(self, link):
        """Fail the calls of a link that has ended."""
        for address, known in list(self.by_address.items()):
            if known is link:
                del self.by_address[address]
        for call in list(link.calls.values()):
            call.fail(PeerUnavailableError("the link has ended"))

    def close(self):
        """End all links."""
        for link in list(self.by_address.values()):
            link.transport.abortConnection()


def receive_answer(link, message):
    """Hand an answer to its call; late ones are passed over."""
    call = link.calls.get(message.call)
    if call is None:
        return
    try:
        call.on_message(call, message)
    except PeerMessageError as failure:
        call.fail(failure)
        raise


def take_answer(call, message):
    if message.which() == "failure":
        with convert_codec_errors():
            call.fail(decode_failure(bytes(message.failure.error)))
        return
    call.finish(message)


def read_document(message, *, kind):
    with convert_codec_errors():
        if message.which() != kind:
            raise PeerMessageError(f"a peer answered {message.which()}")
        content = bytes(getattr(message, kind).document)
    if not content:
        return b""
    try:
        return zstandard.ZstdDecompressor().decompress(
            content, max_output_size=MAX_DOCUMENT_BYTES
        )
    except zstandard.ZstdError as failure:
        raise PeerMessageError("a document cannot be unpacked") from failure
