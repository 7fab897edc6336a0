"""Errors of the platform's store."""

from .base import HollyspanError
from .base import Outcome

__all__ = [
    "LeaseLostError",
    "RecordUnreadableError",
    "StoreAnswerTooLargeError",
    "StoreConflictError",
    "StoreHistoryLostError",
    "StoreKeyExistsError",
    "StoreReplyLostError",
    "StoreUnavailableError",
    "StoreUnreachableError",
    "StoreValueTooLargeError",
]


class StoreUnavailableError(HollyspanError):
    """The store did not answer in time."""

    status = 503
    kind = "server_error"
    code = "store_unavailable"


class StoreUnreachableError(StoreUnavailableError):
    """A call was never sent, since no connection could be opened in time."""


class StoreReplyLostError(StoreUnavailableError):
    """A write may have taken effect; its reply was lost."""

    status = 503
    kind = "server_error"
    code = "store_reply_lost"


class StoreAnswerTooLargeError(StoreReplyLostError):
    """An answer exceeds what is read; for a watch, pages are read instead."""


class StoreConflictError(HollyspanError):
    """The key was changed by another writer.

    Parameters
    ----------
    message : str
    entry : object, optional
        Current entry of the store, None if the key is absent.
    ambiguous : bool, optional
        True if an earlier copy of the same write was not answered and may
        have taken effect before the other writer's change.
    """

    status = 409
    kind = "conflict_error"
    code = "store_conflict"

    def __init__(self, message, *, entry=None, ambiguous=False, **details):
        super().__init__(message, **details)
        self.entry = entry
        self.ambiguous = ambiguous


class StoreKeyExistsError(StoreConflictError):
    """The key to create already exists."""

    status = 409
    kind = "conflict_error"
    code = "store_key_exists"


class StoreValueTooLargeError(HollyspanError):
    """The value exceeds the size limit of the store."""

    status = 413
    kind = "invalid_request_error"
    code = "store_value_too_large"
    default_outcome = Outcome.NOT_RUN


class RecordUnreadableError(HollyspanError):
    """A record in the store cannot be read, as one of a newer build."""

    status = 503
    kind = "server_error"
    code = "record_unreadable"
    default_outcome = Outcome.NOT_RUN


class StoreHistoryLostError(HollyspanError):
    """The store no longer retains the changes after a revision."""

    status = 503
    kind = "server_error"
    code = "store_history_lost"


class LeaseLostError(HollyspanError):
    """The lease is no longer certain to be valid."""

    status = 503
    kind = "server_error"
    code = "lease_lost"
