"""HTTP server of the store."""

import json

from ..common import AnswerError
from ..common import build_site
from ..common import drop_connection
from ..common import read_json
from ..common import send_json
from .calls import CallCounts
from .calls import classify_transaction
from .faults import Faults
from .keyspace import Keyspace
from .leases import Leases
from .operations import Operations
from .pacing import Pacer
from .watches import Watches
from .wire import read_bytes
from .wire import read_number
from .wire import StoreError

__all__ = ["StoreServer", "build_store"]


class StoreServer:
    """Answers the requests to the store and injects faults.

    Parameters
    ----------
    clock : IReactorTime
        Schedules delays and the expiry of leases.
    **rates : float
        See :class:`~.pacing.Pacer`.
    """

    def __init__(self, *, clock, **rates):
        self.clock = clock
        self.faults = Faults()
        self.calls = CallCounts(clock=clock)
        self.pacer = Pacer(clock=clock, **rates)
        self.keyspace = Keyspace(on_change=self._notify_watches)
        self.leases = Leases(clock=clock, delete_keys=self.keyspace.delete)
        self.operations = Operations(
            keyspace=self.keyspace, leases=self.leases
        )
        self.watches = Watches(
            keyspace=self.keyspace, faults=self.faults, calls=self.calls
        )
        self.handlers = {
            "/v3/kv/range": self._range,
            "/v3/kv/put": self._put,
            "/v3/kv/deleterange": self._delete_range,
            "/v3/kv/txn": self._transaction,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke,
            "/v3/kv/lease/revoke": self._revoke,
        }

    def handle(self, request):
        """Answer one request."""
        path = request.path.decode()
        if path.startswith("/control"):
            self._control(request, path)
            return
        document = read_json(request)
        size = request.content.tell()
        if self.faults.outage:
            self.calls.count("refused_by_outage", size)
            drop_connection(request)
            return
        self.calls.record_arrival(path)
        delay = self.faults.delay_seconds + self.pacer.reserve(path)
        if delay:
            self.clock.callLater(
                delay, self._answer, request, path, document, size
            )
            return
        self._answer(request, path, document, size)

    def _answer(self, request, path, document, size):
        if path == "/v3/watch":
            self.calls.count("watch_open", size)
            if not request.is_disconnected:
                self.watches.open(request, document)
            return
        handler = self.handlers.get(path)
        status = 200
        written_key = None
        try:
            if handler is None:
                raise StoreError(status=404, number=5, message="Not Found")
            kind, answer, written_key = handler(document)
        except AnswerError as error:
            kind = "invalid"
            status = error.status
            answer = error.to_document()
        self.calls.count(kind, size)
        if written_key is not None and self.faults.consume_lost_reply(
            written_key
        ):
            self.calls.count("lost_reply")
            drop_connection(request)
            return
        delay = self.faults.reply_delay_seconds
        if delay:
            self.clock.callLater(delay, self._reply, request, answer, status)
            return
        self._reply(request, answer, status)

    def _reply(self, request, answer, status):
        self.calls.sent_bytes += len(json.dumps(answer))
        send_json(request, answer, status=status)

    def _range(self, document):
        return "range", self.operations.read_range(document), None

    def _put(self, document):
        answer = self.operations.put(document)
        return "put", answer, read_bytes(document, "key")

    def _delete_range(self, document):
        answer = self.operations.delete_range(document)
        return "deleterange", answer, read_bytes(document, "key")

    def _transaction(self, document):
        answer = self.operations.run_transaction(document)
        kind = classify_transaction(document)
        if not answer.get("succeeded"):
            self.calls.count("txn_compare_failed")
            return kind, answer, None
        if kind == "txn_read":
            return kind, answer, None
        step = document["success"][0]
        written_key = read_bytes(next(iter(step.values())), "key")
        return kind, answer, written_key

    def _grant(self, document):
        ttl = read_number(document, "TTL")
        number = self.leases.grant(ttl, read_number(document, "ID"))
        answer = {
            "header": self.operations.build_header(),
            "ID": str(number),
            "TTL": str(ttl),
        }
        return "lease_grant", answer, None

    def _keep_alive(self, document):
        number = read_number(document, "ID")
        result = {
            "header": self.operations.build_header(),
            "ID": str(number),
        }
        ttl = self.leases.keep_alive(number)
        if ttl:
            result["TTL"] = str(ttl)
        return "lease_keepalive", {"result": result}, None

    def _revoke(self, document):
        if not self.leases.revoke(read_number(document, "ID")):
            raise StoreError(
                status=404,
                number=5,
                message="etcdserver: requested lease not found",
            )
        answer = {"header": self.operations.build_header()}
        return "lease_revoke", answer, None

    def _control(self, request, path):
        if path == "/control/calls":
            waiting = len(self.watches.watches)
            send_json(request, self.calls.to_document(waiting=waiting))
            return
        self.faults.update(read_json(request))
        if self.faults.outage:
            self.watches.abort_all()
        self._notify_watches()
        send_json(request, self.faults.to_document())

    def _notify_watches(self):
        self.watches.notify_all()


def build_store(clock, **rates):
    """Build the site of a new, empty store."""
    return build_site(StoreServer(clock=clock, **rates).handle)
