"""Pool of links from this daemon to other daemons."""

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

__all__ = ["LinkPool"]

CALL_TIMEOUT_S = 3.0
MAX_DOCUMENT_BYTES = 4_000_000


class LinkPool:
    """Opens links to other daemons and makes calls on them.

    Parameters
    ----------
    runtime : Runtime

    Attributes
    ----------
    by_address : dict
        Link by address and port of the peer.
    statistics_providers : dict
        Functions by kind of statistics; each takes no arguments and returns
        a JSON document.
    """

    __slots__ = (
        "runtime",
        "by_address",
        "statistics_providers",
        "last_call_number",
    )

    def __init__(self, *, runtime):
        self.runtime = runtime
        self.by_address = {}
        self.statistics_providers = {}
        self.last_call_number = 0

    async def pull_configuration(self, member, *, above):
        """Request the configuration of a peer.

        Parameters
        ----------
        member : Member or Seed
        above : int
            Request only a generation higher than this one.

        Returns
        -------
        bytes
            JSON; empty if the peer has no higher generation.

        Raises
        ------
        PeerUnavailableError, PeerMessageError
        """
        message = PeerMessage.new_message()
        message.init("configurationPull").above = above
        answer = await self.request(member, message)
        return read_document(answer, kind="configurationDocument")

    async def pull_statistics(self, member, *, kind):
        """Request statistics of a peer.

        Parameters
        ----------
        member : Member or Seed
        kind : str
            Kind of statistics.

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
        answer = await self.request(member, message)
        return read_document(answer, kind="statistics")

    async def request(self, member, message):
        """Make a call that has a single answer.

        Parameters
        ----------
        member : Member or Seed
        message : PeerMessage builder

        Returns
        -------
        PeerMessage reader
        """
        link = await self.open(member)
        with self.open_call(link, on_message=finish_call) as call:
            message.call = call.number
            link.send(message)
            call.done.addTimeout(CALL_TIMEOUT_S, self.runtime.reactor)
            try:
                return await call.done
            except defer.TimeoutError as failure:
                raise PeerUnavailableError(
                    "a peer did not answer"
                ) from failure

    @contextlib.contextmanager
    def open_call(self, link, *, on_message):
        """Register a numbered call on a link and remove it at the end.

        Parameters
        ----------
        link : Link
        on_message : callable
            Called with the call and each answer.

        Yields
        ------
        Call
        """
        self.last_call_number += 1
        call = Call(number=self.last_call_number, on_message=on_message)
        link.calls[call.number] = call
        try:
            yield call
        finally:
            link.calls.pop(call.number, None)

    async def open(self, member):
        """Return an authenticated link to a peer.

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
        # The instance list may route to a peer through another address than
        # the one that the peer reports.
        seed = self.runtime.seeds.get(member.instance, member)
        address = (seed.address, seed.peer_port)
        link = self.by_address.get(address)
        work = defer.ensureDeferred(self.ensure_connected(link, address))
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

    async def ensure_connected(self, link, address):
        if link is None or link.is_ended:
            link = await self.connect(address)
            self.by_address[address] = link
        await link.wait_authenticated()
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
            receive=dispatch_answer,
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
        """Close all links to other daemons."""
        for link in list(self.by_address.values()):
            link.transport.abortConnection()


def dispatch_answer(link, message):
    """Pass an answer to its call; ignore late answers."""
    call = link.calls.get(message.call)
    if call is None:
        return
    try:
        call.on_message(call, message)
    except PeerMessageError as failure:
        call.fail(failure)
        raise


def finish_call(call, message):
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
        raise PeerMessageError(
            "a document cannot be decompressed"
        ) from failure
