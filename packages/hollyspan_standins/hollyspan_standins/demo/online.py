"""Streamed online request and call of a plain service."""

import time

from ..engine import generate_expected_text
from ..engine import join_messages
from .errors import WrongResultError

__all__ = ["run_online"]

MAX_TOKENS = 24


def run_online(caller, model):
    """Send a streamed request, then print and check its text."""
    messages = [{"role": "user", "content": "Draft a drift note for Attiki."}]
    request = {"model": model, "messages": messages, "max_tokens": MAX_TOKENS}
    print(f"online request: {messages[0]['content']}")
    started = time.monotonic()
    first_s = None
    text = ""
    for piece in caller.stream("/v1/chat/completions", request):
        first_s = first_s or time.monotonic() - started
        text += piece
        print(piece, end="", flush=True)
    print()
    expected = generate_expected_text(
        model=model, prompt=join_messages(messages), max_tokens=MAX_TOKENS
    )
    if text != expected:
        raise WrongResultError(f"answer {text!r} in place of {expected!r}")
    total_s = time.monotonic() - started
    print(f"  first token after {first_s:.3f} s, whole after {total_s:.3f} s")


def call_service(caller, service):
    """Read the status of a plain service and print it."""
    answer = caller.get(f"/services/{service}/status")
    print(f"plain service {service}: {answer['status']}")
