"""Log line of an attempt that failed."""

import eliot

from hollyspan_policy.hashing import format_hash

from .head import format_parts

__all__ = ["log_failed_attempt"]


def log_failed_attempt(relay, error):
    """Log why an attempt of a request has failed.

    Parameters
    ----------
    relay : Relay
    error : HollyspanError
    """
    head = relay.head
    eliot.log_message(
        "request:attempt_failed",
        request=head.identifier,
        **relay.describe_place(),
        code=error.code,
        reason=error.message,
        outcome=error.outcome.value,
        last_event=relay.delivery.last_event,
        sends=relay.sends,
        refusals=relay.refusals,
        parts=format_parts(head.shared_parts),
        fingerprint=format_hash(head.fingerprint),
        resumes=head.resumes,
        **relay.upstream_load,
    )
