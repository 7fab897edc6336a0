"""Parser for the multipart form of an upload."""

import multipart

from hollyspan_core.errors import BodyTooLargeError
from hollyspan_core.errors import InvalidRequestError

__all__ = ["FormReader", "find_boundary"]

MAX_FIELDS = 16
MAX_FIELD_BYTES = 4096
MAX_FILE_BYTES = 2_000_000_000
FILE_FIELD = "file"


def find_boundary(content_type):
    """Return the boundary in the content type of a request.

    Parameters
    ----------
    content_type : str or None

    Returns
    -------
    str

    Raises
    ------
    InvalidRequestError
        The content type is not that of a multipart form.
    """
    kind, options = multipart.parse_options_header(content_type or "")
    if kind != "multipart/form-data" or not options.get("boundary"):
        raise InvalidRequestError("the body is not a multipart form")
    return options["boundary"]


class FormReader:
    """Collects the fields of a form and passes on the content of its file.

    Parameters
    ----------
    boundary : str
        Separator between the parts of the form.
    on_data : callable
        Called with each piece of the content of the file, as bytes.

    Attributes
    ----------
    fields : dict
        Values of the other fields (str) by name.
    filename : str or None
        None until the part that holds the file has begun.
    """

    __slots__ = ("parser", "on_data", "fields", "filename", "segment")

    def __init__(self, *, boundary, on_data):
        self.on_data = on_data
        self.fields = {}
        self.filename = None
        self.segment = None
        try:
            self.parser = multipart.PushMultipartParser(
                boundary, max_segment_count=MAX_FIELDS
            )
        except multipart.MultipartError as error:
            raise InvalidRequestError("the boundary is invalid") from error

    def feed(self, data):
        """Parse the next bytes of the body; empty bytes mark its end.

        Parameters
        ----------
        data : bytes

        Raises
        ------
        InvalidRequestError
            The form is malformed.
        BodyTooLargeError
            The file exceeds the limit.
        """
        try:
            for event in self.parser.parse(data):
                self.handle_event(event)
        except multipart.MultipartError as error:
            raise InvalidRequestError(
                f"the form is malformed: {error}"
            ) from error

    def handle_event(self, event):
        if isinstance(event, multipart.MultipartSegment):
            self.begin_segment(event)
        elif event and self.segment.name == FILE_FIELD:
            if self.segment.bytes_received > MAX_FILE_BYTES:
                raise BodyTooLargeError(
                    f"the file exceeds {MAX_FILE_BYTES} bytes"
                )
            self.on_data(bytes(event))
        elif event:
            self.add_to_field(event)

    def begin_segment(self, segment):
        self.segment = segment
        if segment.name != FILE_FIELD:
            self.fields[segment.name] = ""
            return
        if self.filename is not None:
            raise InvalidRequestError("the form contains two files")
        self.filename = segment.filename or "upload.jsonl"

    def add_to_field(self, data):
        value = self.fields[self.segment.name] + data.decode(
            "utf-8", "replace"
        )
        if len(value) > MAX_FIELD_BYTES:
            raise BodyTooLargeError(f"a field exceeds {MAX_FIELD_BYTES} bytes")
        self.fields[self.segment.name] = value
