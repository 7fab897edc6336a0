"""Tests of requests in a row whose first attempts are reset."""

import pytest
from twisted.internet import defer

from hollyspan_core.errors import StreamLostError
from hollyspan_gateway.routes import RouteKind

REQUESTS = 60
ATTEMPT_S = 0.05


# Failure: a safe request whose first attempt was reset at the only upstream
# without a back-off was refused, though the others could be reached.
@pytest.mark.parametrize("interval", [0.1, 0.3, 1.0])
@pytest.mark.parametrize(
    "kind", [RouteKind.IDEMPOTENT, RouteKind.STREAM], ids=["plain", "stream"]
)
def test_each_request_whose_first_attempt_is_reset_is_sent_again(
    build_gateway, reactor, helpers, kind, interval
):
    gateway = build_gateway(
        upstreams=("u1", "u2", "u3"), routes=[helpers.build_route(kind=kind)]
    )
    for number in range(REQUESTS):
        name = f"q{number}"
        gateway.pool.sent.clear()
        request = helpers.build_request(reactor=reactor, identifier=name)
        work = defer.ensureDeferred(
            gateway.online.answer(request, helpers.build_head(name))
        )
        work.addErrback(gateway.online.handle_failure, request, None)
        reactor.advance(ATTEMPT_S)
        gateway.pool.last.exchange.on_failure(
            StreamLostError("connection reset")
        )
        reactor.advance(ATTEMPT_S)
        assert len(gateway.pool.sent) == 2, name
        gateway.pool.last.answer(200, body=helpers.build_events(1, 1))
        assert request.status == 200
        reactor.advance(interval)
