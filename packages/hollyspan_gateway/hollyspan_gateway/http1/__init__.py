"""HTTP/1.1 client connections, and answers to failed requests."""

from .attempt import run_attempt
from .body import PiecedBody
from .connection import ClientConnection
from .connection import connect
from .exchange import Exchange
from .identity import check_answer_identity
from .intake import Intake
from .internal_error import answer_internal_error
from .kinds import AnswerKind
from .kinds import count_values
from .kinds import EVENT_STREAM
from .kinds import FORWARDED_ANSWER
from .kinds import FORWARDED_STREAM
from .kinds import ITEM_RUN
from .kinds import JOB_READ
from .kinds import MAX_DOCUMENT_VALUES
from .kinds import MAX_FAILURE_BYTES
from .kinds import PLAIN_ANSWER
from .kinds import PROBE
from .kinds import REPORT
from .kinds import SNAPSHOT
from .kinds import STORE_ANSWER
from .kinds import STORE_KEPT_BYTES
from .pool import ConnectionPool

__all__ = [
    "EVENT_STREAM",
    "FORWARDED_ANSWER",
    "FORWARDED_STREAM",
    "ITEM_RUN",
    "JOB_READ",
    "MAX_DOCUMENT_VALUES",
    "MAX_FAILURE_BYTES",
    "PLAIN_ANSWER",
    "PROBE",
    "REPORT",
    "SNAPSHOT",
    "STORE_ANSWER",
    "STORE_KEPT_BYTES",
    "AnswerKind",
    "ClientConnection",
    "ConnectionPool",
    "Exchange",
    "Intake",
    "PiecedBody",
    "answer_internal_error",
    "check_answer_identity",
    "connect",
    "count_values",
    "run_attempt",
]
