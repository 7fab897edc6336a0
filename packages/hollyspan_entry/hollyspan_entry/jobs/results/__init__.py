"""Results of items: parts in the store and the output files of jobs."""

from .flush import flush_chunk
from .flush import RECORDS_PER_PART
from .item_record import ItemRecord
from .item_record import RecordKind
from .ledger import read_ledger
from .output import build_output_id
from .output import open_output
from .results import build_failure
from .results import build_success

__all__ = [
    "ItemRecord",
    "RECORDS_PER_PART",
    "RecordKind",
    "build_failure",
    "build_output_id",
    "build_success",
    "flush_chunk",
    "open_output",
    "read_ledger",
]
