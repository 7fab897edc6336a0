"""HTTP server of the instance list."""

from ..common import AnswerError
from ..common import drop_connection
from ..common import read_argument
from ..common import read_json
from ..common import send_json
from .slice import build_labels
from .slice import build_slice_list
from .slice import read_selector

__all__ = ["InstancesServer"]

LIST_PATH = "/apis/discovery.k8s.io/v1/endpointslices"


class InstancesServer:
    """Lists instances and applies changes after a lag.

    Parameters
    ----------
    clock : IReactorTime
    lag_seconds : float
    entries : iterable of dict
        Initial entries; see :func:`~.slice.build_slice`.
    """

    def __init__(self, *, clock, lag_seconds, entries=()):
        self.clock = clock
        self.lag_seconds = lag_seconds
        self.entries = {entry["name"]: entry for entry in entries}
        self.version = 1
        self.outage = False
        self.change_handlers = {
            "/control/register": self._register,
            "/control/deregister": self._deregister,
            "/control/set": self._set,
        }

    def handle(self, request, view=None):
        """Answer one request, with the ports of a view if one is given."""
        path = request.path.decode()
        if path == "/control":
            self._control(request)
        elif path in self.change_handlers:
            self._schedule_change(request, self.change_handlers[path])
        elif path == LIST_PATH:
            self._list(request, view)
        else:
            raise AnswerError(status=404, code="not_found", message=path)

    def _list(self, request, view):
        if self.outage:
            drop_connection(request)
            return
        selector = read_selector(read_argument(request, "labelSelector", ""))
        entries = [
            entry
            for entry in self.entries.values()
            if selector.items() <= build_labels(entry).items()
        ]
        document = build_slice_list(entries, self.version, view)
        send_json(request, document)

    def _control(self, request):
        document = read_json(request)
        self.outage = document.get("outage", self.outage)
        self.lag_seconds = document.get("lag", self.lag_seconds)
        state = {"outage": self.outage, "lag": self.lag_seconds}
        send_json(request, state)

    def _schedule_change(self, request, change):
        document = read_json(request)
        if "name" not in document:
            raise AnswerError(
                status=400, code="no_name", message="name is needed"
            )
        self.clock.callLater(
            self.lag_seconds, self._apply_change, change, document
        )
        send_json(request, {"listed_after_seconds": self.lag_seconds})

    def _apply_change(self, change, document):
        self.version += 1
        change(document)

    def _register(self, document):
        self.entries[document["name"]] = document

    def _deregister(self, document):
        self.entries.pop(document["name"], None)

    def _set(self, document):
        entry = self.entries.get(document["name"])
        if entry is None:
            return
        conditions = entry.setdefault("conditions", {})
        for name in ("ready", "serving", "terminating"):
            if name in document:
                conditions[name] = document[name]
