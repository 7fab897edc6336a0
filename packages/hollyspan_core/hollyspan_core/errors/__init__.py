"""Exception hierarchy of hollyspan."""

from .base import HollyspanError
from .base import Outcome
from .configuration import ConfigurationConflictError
from .configuration import ConfigurationInvalidError
from .configuration import ConfigurationMissingError
from .configuration import KeysUnconfirmedError
from .configuration import SettingsInvalidError
from .document import DocumentInvalidError
from .instances import InstanceListError
from .intake import IntakeExceededError
from .intake import IntakeFullError
from .peer import PeerAnswerError
from .peer import PeerAuthenticationError
from .peer import PeerMessageError
from .peer import PeerUnavailableError
from .peer import PeerUnknownError
from .request import AuthenticationError
from .request import BatchNotFoundError
from .request import BatchStateError
from .request import BodyTooLargeError
from .request import DeadlineError
from .request import DrainingError
from .request import DuplicateItemError
from .request import FileInUseError
from .request import FileNotFoundInWorkspaceError
from .request import IdempotencyKeyMissingError
from .request import IdempotencyMismatchError
from .request import IdentifierTakenError
from .request import InputLineError
from .request import InstanceStoppedError
from .request import InvalidRequestError
from .request import ItemAttemptsError
from .request import ItemTimeoutError
from .request import ModelNotFoundError
from .request import OutcomeUnknownError
from .request import OverloadedError
from .request import QuotaExceededError
from .request import RateLimitError
from .request import RequestBlockedError
from .request import RouteNotFoundError
from .request import ServiceNotFoundError
from .request import StreamVersionError
from .store import LeaseLostError
from .store import RecordUnreadableError
from .store import StoreAnswerTooLargeError
from .store import StoreConflictError
from .store import StoreHistoryLostError
from .store import StoreKeyExistsError
from .store import StoreReplyLostError
from .store import StoreUnavailableError
from .store import StoreUnreachableError
from .store import StoreValueTooLargeError
from .upstream import AnswerForeignError
from .upstream import AnswerMisplacedError
from .upstream import StreamCancelledError
from .upstream import StreamLostError
from .upstream import StreamMalformedError
from .upstream import StreamStalledError
from .upstream import UpstreamAnswerError
from .upstream import UpstreamConnectionRefusedError
from .upstream import UpstreamLeavingError
from .upstream import UpstreamReplacedError
from .upstream import UpstreamUnavailableError
from .upstream import UpstreamUnreachableError

__all__ = [
    "AnswerForeignError",
    "AnswerMisplacedError",
    "AuthenticationError",
    "BatchNotFoundError",
    "BatchStateError",
    "BodyTooLargeError",
    "ConfigurationConflictError",
    "ConfigurationInvalidError",
    "ConfigurationMissingError",
    "DeadlineError",
    "DocumentInvalidError",
    "DrainingError",
    "DuplicateItemError",
    "FileInUseError",
    "FileNotFoundInWorkspaceError",
    "HollyspanError",
    "IdempotencyKeyMissingError",
    "IdempotencyMismatchError",
    "InputLineError",
    "InstanceListError",
    "InstanceStoppedError",
    "InvalidRequestError",
    "IntakeExceededError",
    "IntakeFullError",
    "IdentifierTakenError",
    "ItemAttemptsError",
    "ItemTimeoutError",
    "LeaseLostError",
    "KeysUnconfirmedError",
    "ModelNotFoundError",
    "Outcome",
    "OutcomeUnknownError",
    "OverloadedError",
    "RequestBlockedError",
    "QuotaExceededError",
    "PeerAnswerError",
    "PeerAuthenticationError",
    "PeerMessageError",
    "PeerUnavailableError",
    "PeerUnknownError",
    "RateLimitError",
    "RecordUnreadableError",
    "RouteNotFoundError",
    "ServiceNotFoundError",
    "SettingsInvalidError",
    "StoreAnswerTooLargeError",
    "StoreConflictError",
    "StoreHistoryLostError",
    "StoreKeyExistsError",
    "StoreReplyLostError",
    "StoreUnavailableError",
    "StoreUnreachableError",
    "StoreValueTooLargeError",
    "StreamCancelledError",
    "StreamLostError",
    "StreamMalformedError",
    "StreamStalledError",
    "StreamVersionError",
    "UpstreamAnswerError",
    "UpstreamConnectionRefusedError",
    "UpstreamLeavingError",
    "UpstreamReplacedError",
    "UpstreamUnavailableError",
    "UpstreamUnreachableError",
]
