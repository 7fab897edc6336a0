"""Errors that are returned to callers."""

from .base import HollyspanError
from .base import Outcome

__all__ = [
    "AuthenticationError",
    "BatchNotFoundError",
    "BatchStateError",
    "BodyTooLargeError",
    "DeadlineError",
    "DrainingError",
    "DuplicateItemError",
    "FileInUseError",
    "FileNotFoundInWorkspaceError",
    "IdempotencyKeyMissingError",
    "IdempotencyMismatchError",
    "IdentifierTakenError",
    "InputLineError",
    "InstanceStoppedError",
    "InvalidRequestError",
    "ItemAttemptsError",
    "ItemTimeoutError",
    "ModelNotFoundError",
    "OutcomeUnknownError",
    "OverloadedError",
    "QuotaExceededError",
    "RateLimitError",
    "RequestBlockedError",
    "RouteNotFoundError",
    "ServiceNotFoundError",
    "StreamVersionError",
]


class InvalidRequestError(HollyspanError):
    """The request is malformed."""

    status = 400
    kind = "invalid_request_error"
    code = "invalid_request"
    default_outcome = Outcome.NOT_RUN


class AuthenticationError(HollyspanError):
    """The key is missing or unknown."""

    status = 401
    kind = "authentication_error"
    code = "invalid_api_key"
    default_outcome = Outcome.NOT_RUN


class ModelNotFoundError(HollyspanError):
    """No such model."""

    status = 404
    kind = "invalid_request_error"
    code = "model_not_found"
    default_outcome = Outcome.NOT_RUN


class RouteNotFoundError(HollyspanError):
    """No route for the host and path."""

    status = 404
    kind = "invalid_request_error"
    code = "route_not_found"
    default_outcome = Outcome.NOT_RUN


class ServiceNotFoundError(HollyspanError):
    """No such plain service."""

    status = 404
    kind = "invalid_request_error"
    code = "service_not_found"
    default_outcome = Outcome.NOT_RUN


class FileNotFoundInWorkspaceError(HollyspanError):
    """No such file in the caller's workspace."""

    status = 404
    kind = "invalid_request_error"
    code = "file_not_found"
    default_outcome = Outcome.NOT_RUN


class BatchNotFoundError(HollyspanError):
    """No such batch in the caller's workspace."""

    status = 404
    kind = "invalid_request_error"
    code = "batch_not_found"
    default_outcome = Outcome.NOT_RUN


class BodyTooLargeError(HollyspanError):
    """The body exceeds the size limit."""

    status = 413
    kind = "invalid_request_error"
    code = "body_too_large"
    default_outcome = Outcome.NOT_RUN


class InputLineError(InvalidRequestError):
    """A line of an input file is invalid."""

    status = 400
    kind = "invalid_request_error"
    code = "invalid_line"
    default_outcome = Outcome.NOT_RUN


class DuplicateItemError(InputLineError):
    """Two lines of an input file have the same custom_id."""

    status = 400
    kind = "invalid_request_error"
    code = "duplicate_custom_id"
    default_outcome = Outcome.NOT_RUN


class FileInUseError(HollyspanError):
    """The file is used by an unfinished job."""

    status = 409
    kind = "conflict_error"
    code = "file_in_use"
    default_outcome = Outcome.NOT_RUN


class BatchStateError(HollyspanError):
    """The batch has ended and can no longer be changed."""

    status = 409
    kind = "conflict_error"
    code = "batch_ended"


class IdentifierTakenError(HollyspanError):
    """A job of another workspace has the identifier."""

    status = 409
    kind = "conflict_error"
    code = "identifier_taken"
    default_outcome = Outcome.NOT_RUN


class ItemAttemptsError(HollyspanError):
    """An item of a batch failed in all allowed attempts."""

    status = 502
    kind = "server_error"
    code = "attempts_exhausted"


class ItemTimeoutError(HollyspanError):
    """An item of a batch exceeded its time limit."""

    status = 504
    kind = "timeout_error"
    code = "item_timeout"


class IdempotencyKeyMissingError(InvalidRequestError):
    """A non-idempotent request has no Idempotency-Key."""

    status = 400
    kind = "invalid_request_error"
    code = "idempotency_key_missing"
    default_outcome = Outcome.NOT_RUN


class IdempotencyMismatchError(HollyspanError):
    """An Idempotency-Key was used with another body."""

    status = 422
    kind = "invalid_request_error"
    code = "idempotency_mismatch"
    default_outcome = Outcome.NOT_RUN


class OutcomeUnknownError(HollyspanError):
    """An earlier copy of the request may have run; its answer is unknown."""

    status = 409
    kind = "conflict_error"
    code = "outcome_unknown"


class RateLimitError(HollyspanError):
    """The workspace exceeds its limits."""

    status = 429
    kind = "rate_limit_error"
    code = "rate_limited"
    default_outcome = Outcome.NOT_RUN


class RequestBlockedError(HollyspanError):
    """Upstreams have ended as they answered the request or a part of it."""

    status = 503
    kind = "server_error"
    code = "prompt_part_blocked"
    default_outcome = Outcome.NOT_RUN


class StreamVersionError(HollyspanError):
    """The stream cannot go on at the software version that began it."""

    status = 503
    kind = "server_error"
    code = "stream_version_unavailable"
    default_outcome = Outcome.NOT_RUN


class QuotaExceededError(HollyspanError):
    """The job does not fit under the limit on waiting tokens now."""

    status = 429
    kind = "rate_limit_error"
    code = "waiting_tokens_exceeded"
    default_outcome = Outcome.NOT_RUN


class OverloadedError(HollyspanError):
    """No upstream has free capacity before the deadline."""

    status = 503
    kind = "overloaded_error"
    code = "overloaded"
    default_outcome = Outcome.NOT_RUN


class DrainingError(HollyspanError):
    """The instance is shutting down."""

    status = 503
    kind = "overloaded_error"
    code = "draining"
    default_outcome = Outcome.NOT_RUN


class InstanceStoppedError(HollyspanError):
    """The daemon stops while it waits for the answer to a request."""

    status = 502
    kind = "server_error"
    code = "instance_stopped"


class DeadlineError(HollyspanError):
    """The request's deadline has passed."""

    status = 504
    kind = "timeout_error"
    code = "deadline_exceeded"
