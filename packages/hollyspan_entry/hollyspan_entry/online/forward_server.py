"""Server side of requests forwarded by other data centres."""

from ..stopping import require_finishable
from .forwarding import MessageSink
from .reading import build_request
from .reading import Options
from .service import answer_request

__all__ = ["build_forward_server"]


def build_forward_server(state):
    """Return the function that answers requests from other data centres.

    Parameters
    ----------
    state : OnlineState

    Returns
    -------
    callable
        Coroutine function for ``runtime.serve_forward``. It applies no
        workspace limits: the forwarding daemon has applied them already.
    """

    async def serve_forward(*, request, on_head, on_data):
        runtime = state.runtime
        accepted = build_request(
            configuration=runtime.configurations.current,
            settings=runtime.settings,
            path=request.path,
            body=request.body,
            workspace=request.workspace,
            options=Options(deadline_seconds=request.deadline_seconds),
            identifier=request.request_id,
            forwarded=True,
        )
        require_finishable(runtime, deadline=accepted.deadline)
        sink = MessageSink(on_head=on_head, on_data=on_data)
        await answer_request(state, accepted, sink)

    return serve_forward
