"""Reading of the multipart form of an upload."""

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
        The request is no multipart form.
    """
    kind, options = multipart.parse_options_header(content_type or "")
    if kind != "multipart/form-data" or not options.get("boundary"):
        raise InvalidRequestError("the body is no multipart form")
    return options["boundary"]


class FormReader:
    """Reads the fields of a form and hands on the bytes of its file.

    Parameters
    ----------
    boundary : str
    on_data : callable
        Called with each piece of the file's content, bytes.

    Attributes
    ----------
    fields : dict
        The other fields, str by name.
    filename : str or None
        None until the file has begun.
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
        """Take in the next bytes of the body, none at its end.

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
                self.take(event)
        except multipart.MultipartError as error:
            raise InvalidRequestError(f"the form: {error}") from error

    def take(self, event):
        if isinstance(event, multipart.MultipartSegment):
            self.begin(event)
        elif event and self.segment.name == FILE_FIELD:
            if self.segment.bytes_received > MAX_FILE_BYTES:
                raise BodyTooLargeError(
                    f"the file exceeds {MAX_FILE_BYTES} bytes"
                )
            self.on_data(bytes(event))
        elif event:
            self.add_to_field(event)

    def begin(self, segment):
        self.segment = segment
        if segment.name != FILE_FIELD:
            self.fields[segment.name] = ""
            return
        if self.filename is not None:
            raise InvalidRequestError("the form holds two files")
        self.filename = segment.filename or "upload.jsonl"

    def add_to_field(self, data):
        value = self.fields[self.segment.name] + data.decode(
            "utf-8", "replace"
        )
        if len(value) > MAX_FIELD_BYTES:
            raise BodyTooLargeError(f"a field exceeds {MAX_FIELD_BYTES} bytes")
        self.fields[self.segment.name] = value
