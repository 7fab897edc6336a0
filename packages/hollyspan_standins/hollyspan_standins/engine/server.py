"""HTTP interface of an engine."""

from urllib.parse import unquote

from ..common import AnswerError
from ..common import read_argument
from ..common import read_json
from ..common import send_json
from .requests import read_stream
from .subscribers import EventSubscriber
from .subscribers import PlainSubscriber

__all__ = ["EngineServer"]

STREAMS = "/v1/streams/"
CANCEL = "/cancel"


class EngineServer:
    """Handler of the HTTP requests to an engine.

    Parameters
    ----------
    engine : Engine
    orders : Orders
    events : CacheEvents
    report : LoadReport
    salt : str
        See :func:`~.tokens.generate_expected_tokens`.
    """

    def __init__(self, *, engine, orders, events, report, salt=""):
        self.engine = engine
        self.orders = orders
        self.events = events
        self.report = report
        self.salt = salt
        self.handlers = {
            "/v1/chat/completions": self._start_chat,
            "/v1/completions": self._start_completion,
            "/v1/models": self._list_models,
            "/v1/load": self._report_load,
            "/v1/cache/events": self._list_events,
            "/v1/orders": self._handle_order,
            "/health": self._report_health,
            "/control": self._control,
        }

    def handle(self, request):
        """Answer one request."""
        path = request.path.decode()
        if path.startswith(STREAMS):
            self._handle_stream(request, path[len(STREAMS) :])
            return
        handler = self.handlers.get(path)
        if handler is None:
            raise AnswerError(status=404, code="not_found", message=path)
        handler(request)

    def _handle_stream(self, request, name):
        if request.method == b"POST" and name.endswith(CANCEL):
            stream = self.engine.find(unquote(name[: -len(CANCEL)]))
            send_json(request, {"offset": self.engine.cancel(stream)})
            return
        self._resume(request, unquote(name))

    def _start_chat(self, request):
        self._start(request, is_chat=True)

    def _start_completion(self, request):
        self._start(request, is_chat=False)

    def _start(self, request, *, is_chat):
        body = read_json(request)
        stream = read_stream(request, body, is_chat=is_chat, salt=self.salt)

        def subscribe():
            if body.get("stream"):
                subscriber = EventSubscriber(request=request, offset=0)
            else:
                subscriber = PlainSubscriber(request=request)
            self._watch_connection(request, stream, subscriber)
            return subscriber

        self.engine.start(stream, subscribe)

    def _resume(self, request, identifier):
        offset = read_argument(request, "offset", "0")
        if not offset.isdecimal():
            raise AnswerError(
                status=400, code="invalid_offset", message=offset
            )
        stream = self.engine.find(identifier)

        def subscribe():
            subscriber = EventSubscriber(request=request, offset=int(offset))
            self._watch_connection(request, stream, subscriber)
            return subscriber

        self.engine.resume(identifier, int(offset), subscribe)

    def _watch_connection(self, request, stream, subscriber):
        def on_disconnect(_):
            self.engine.handle_disconnect(stream, subscriber)

        request.notifyFinish().addErrback(on_disconnect)

    def _list_models(self, request):
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "engine"}
            for name in self.engine.models
        ]
        send_json(request, {"object": "list", "data": models})

    def _report_load(self, request):
        send_json(request, self.report.read())

    def _list_events(self, request):
        after = read_argument(request, "after", "0")
        send_json(request, self.events.list_after(int(after or 0)))

    def _handle_order(self, request):
        order = read_json(request)
        try:
            self.orders.check(order)
        except AnswerError as error:
            self.engine.record("order", order=order, refused=error.code)
            raise
        self.engine.record("order", order=order, refused=None)
        self._apply_order(order["kind"], order.get("argument"))
        send_json(request, {"accepted": True})

    def _apply_order(self, kind, argument):
        if kind == "load_model" and argument not in self.engine.models:
            self.engine.models.append(argument)
        elif kind == "load_adapter":
            self.orders.adapters.append(argument)
        elif kind == "set_role":
            self.orders.role = argument
        elif kind == "drain":
            self.engine.is_leaving = True

    def _report_health(self, request):
        state = "leaving" if self.engine.is_leaving else "serving"
        send_json(request, {"state": state})

    def _control(self, request):
        engine = self.engine
        document = read_json(request)
        engine.is_leaving = document.get("leaving", engine.is_leaving)
        engine.fail_starts = document.get("fail_starts", engine.fail_starts)
        timing = engine.scheduler.timing
        timing.speed = document.get("speed", timing.speed)
        send_json(
            request,
            {
                "leaving": engine.is_leaving,
                "fail_starts": engine.fail_starts,
                "speed": timing.speed,
                "role": self.orders.role,
                **engine.scheduler.count_classes(),
            },
        )
