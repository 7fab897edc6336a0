"""Output and error files, assembled from result parts when read."""

import re

from hollyspan_core.errors import FileNotFoundInWorkspaceError

from ...files import describe_file
from ...files import FileContent
from ..state import build_job_key
from ..state import build_part_key
from ..state import decode_record
from ..state import JOB_PREFIX
from .item_record import decode_part
from .item_record import encode_line
from .item_record import RecordKind
from .ledger import ChunkLedger

__all__ = ["JobOutput", "build_output_id", "open_output", "parse_output_id"]

OUTPUT_PATTERN = re.compile(r"file-([0-9a-f]{32})-(output|errors)")
RECORD_KINDS = {"output": RecordKind.COMPLETED, "errors": RecordKind.FAILED}
SIZE_FIELDS = {"output": "output_bytes", "errors": "error_bytes"}


def build_output_id(job, name):
    """Return the identifier of a job's output or error file.

    Parameters
    ----------
    job : str
    name : str
        ``output`` or ``errors``.

    Returns
    -------
    str
    """
    return f"file-{job.removeprefix(JOB_PREFIX)}-{name}"


def parse_output_id(file):
    """Parse the identifier of an output or error file.

    Parameters
    ----------
    file : str

    Returns
    -------
    tuple of (str, str) or None
        Job and name; None if the identifier has another form.
    """
    match = OUTPUT_PATTERN.fullmatch(file)
    return match and (JOB_PREFIX + match[1], match[2])


class JobOutput:
    """The output or error file of a job that has ended.

    Parameters
    ----------
    store : Store
    record : JobRecord
    name : str
        ``output`` or ``errors``.
    """

    __slots__ = ("store", "record", "name")

    def __init__(self, *, store, record, name):
        self.store = store
        self.record = record
        self.name = name

    def describe(self):
        """Return the file object in OpenAI's format.

        Returns
        -------
        dict
        """
        return describe_file(
            file=build_output_id(self.record.job, self.name),
            size=self.record.count(SIZE_FIELDS[self.name]),
            created_at=self.record.ended_at,
            filename=f"{self.record.job}_{self.name}.jsonl",
            purpose="batch_output",
        )

    async def read(self):
        """Read the lines of the file, one result part at a time.

        Yields
        ------
        bytes
        """
        kind = RECORD_KINDS[self.name]
        for chunk in sorted(self.record.closed):
            ledger = ChunkLedger(items=self.record.items[chunk])
            for part in range(self.record.closed[chunk].parts):
                key = build_part_key(self.record.job, chunk, part)
                entry = await self.store.get(key)
                results = ledger.apply(decode_part(entry.content))
                yield b"".join(
                    encode_line(result.line)
                    for result in results
                    if result.kind is kind
                )


async def open_output(store, workspace, file):
    """Open the output or error file of a job that has ended.

    Parameters
    ----------
    store : Store
    workspace, file : str

    Returns
    -------
    FileContent or None
        None if the identifier is not that of an output or error file.

    Raises
    ------
    FileNotFoundInWorkspaceError
        The job does not exist in the workspace or has not ended.
    """
    parsed = parse_output_id(file)
    if parsed is None:
        return None
    job, name = parsed
    entry = await store.get(build_job_key(workspace, job))
    record = entry and decode_record(entry.content)
    if record is None or not record.status.ended:
        raise FileNotFoundInWorkspaceError("no such file")
    output = JobOutput(store=store, record=record, name=name)
    return FileContent(description=output.describe(), read=output.read)
