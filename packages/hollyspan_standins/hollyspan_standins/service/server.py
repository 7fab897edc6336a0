"""HTTP server of the plain service."""

import random

from ..common import AnswerError
from ..common import build_site
from ..common import read_header
from ..common import read_json
from ..common import send_json

__all__ = ["build_service", "ServiceServer"]

# Additional duration of a call of /slow.
SLOW_DELAY_S = 2.0


class ServiceServer:
    """Answers ``/announce``, ``/status`` and ``/slow``.

    Parameters
    ----------
    clock : IReactorTime
    delay_seconds : float
        Duration of each call.
    fail_rate : float
        Fraction of the calls that run and are then answered with status 500.
    random : random.Random
    record : callable
        Called with the name of an event and its fields.
    """

    def __init__(self, *, clock, delay_seconds, fail_rate, random, record):
        self.clock = clock
        self.delay_seconds = delay_seconds
        self.fail_rate = fail_rate
        self.random = random
        self.record = record
        self.is_leaving = False
        self.runs = 0
        self.handlers = {
            "/announce": self._announce,
            "/status": self._answer_status,
            "/slow": self._answer_slow,
            "/health": self._answer_health,
            "/control": self._control,
        }

    def handle(self, request):
        """Answer one request."""
        path = request.path.decode()
        handler = self.handlers.get(path)
        if handler is None:
            raise AnswerError(status=404, code="not_found", message=path)
        handler(request)

    def _announce(self, request):
        if request.method != b"POST":
            raise AnswerError(
                status=405, code="method", message="POST is needed"
            )
        body = request.content.read().decode(errors="replace")
        run = self._start_run(request)
        answer = {"announced": body, "run": run}
        self._schedule_answer(request, answer, run, self.delay_seconds)

    def _answer_status(self, request):
        run = self._start_run(request)
        answer = {"status": "on air", "run": run}
        self._schedule_answer(request, answer, run, self.delay_seconds)

    def _answer_slow(self, request):
        run = self._start_run(request)
        answer = {"status": "slow", "run": run}
        delay = self.delay_seconds + SLOW_DELAY_S
        self._schedule_answer(request, answer, run, delay)

    def _start_run(self, request):
        self._check_leaving(request)
        self.runs += 1
        self._record("received", request, run=self.runs)
        return self.runs

    def _check_leaving(self, request):
        if not self.is_leaving:
            return
        self._record("refused", request, code="leaving")
        raise AnswerError(
            status=503,
            code="leaving",
            message="this service is leaving",
            headers={"x-upstream-state": "leaving"},
        )

    def _schedule_answer(self, request, answer, run, delay):
        self.clock.callLater(delay, self._send_answer, request, answer, run)

    def _send_answer(self, request, answer, run):
        failed = self.random.random() < self.fail_rate
        event = "failed" if failed else "finished"
        self._record(event, request, run=run)
        if failed:
            answer = {"error": {"code": "service_fault"}}
        send_json(request, answer, status=500 if failed else 200)

    def _record(self, event, request, **fields):
        self.record(
            event,
            key=read_header(request, "x-request-key"),
            method=request.method.decode(),
            path=request.path.decode(),
            **fields,
        )

    def _answer_health(self, request):
        state = "leaving" if self.is_leaving else "serving"
        send_json(request, {"state": state})

    def _control(self, request):
        document = read_json(request)
        self.is_leaving = document.get("leaving", self.is_leaving)
        self.delay_seconds = document.get("delay_seconds", self.delay_seconds)
        self.fail_rate = document.get("fail_rate", self.fail_rate)
        state = {
            "leaving": self.is_leaving,
            "delay_seconds": self.delay_seconds,
            "fail_rate": self.fail_rate,
            "runs": self.runs,
        }
        send_json(request, state)


def build_service(clock, options, record):
    """Build the site of a plain service."""
    server = ServiceServer(
        clock=clock,
        delay_seconds=options.delay,
        fail_rate=options.fail_rate,
        random=random.Random(options.seed),
        record=record,
    )
    return build_site(server.handle)
