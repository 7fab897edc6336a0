"""Stored record of a non-idempotent request."""

import json

import zstandard

from hollyspan_core.errors import OutcomeUnknownError

from .answer import Answer

__all__ = ["OnceRecord"]

MAX_BODY_BYTES = 64_000_000
FIELDS = ("digest", "upstream", "stream", "instance", "incarnation")


class OnceRecord:
    """Record of a request, stored under ``once/WORKSPACE/HASH``.

    Parameters
    ----------
    digest : str
        Digest of the request.
    upstream : str
        Upstream of the last attempt.
    stream : str or None
        Stream identifier of that attempt; None for plain services.
    instance : str
        Daemon that runs the request.
    incarnation : int
        Start time of that daemon in microseconds since the epoch.
    answer : Answer, optional
        Answer, once there is one.
    """

    __slots__ = (*FIELDS, "answer")

    def __init__(
        self,
        *,
        digest,
        upstream,
        stream,
        instance,
        incarnation,
        answer=None,
    ):
        self.digest = digest
        self.upstream = upstream
        self.stream = stream
        self.instance = instance
        self.incarnation = incarnation
        self.answer = answer

    def encode(self):
        """Encode the record as a line of JSON followed by the body.

        Returns
        -------
        bytes
        """
        head = {name: getattr(self, name) for name in FIELDS}
        answer = self.answer
        body = b""
        if answer is not None:
            head["status"] = answer.status
            head["content_type"] = answer.content_type
            body = zstandard.compress(answer.body)
        return json.dumps(head).encode() + b"\n" + body

    @classmethod
    def decode(cls, content):
        """Decode a record.

        Parameters
        ----------
        content : bytes

        Returns
        -------
        OnceRecord

        Raises
        ------
        OutcomeUnknownError
            The content is not a valid record.
        """
        line, _, body = content.partition(b"\n")
        try:
            head = json.loads(line)
            answer = None
            if "status" in head:
                answer = Answer(
                    status=int(head["status"]),
                    content_type=str(head["content_type"]),
                    body=zstandard.decompress(
                        body, max_output_size=MAX_BODY_BYTES
                    ),
                )
            fields = {name: head[name] for name in FIELDS}
        except (
            KeyError,
            RecursionError,
            TypeError,
            ValueError,
            zstandard.ZstdError,
        ) as error:
            raise OutcomeUnknownError(
                "the record of this request cannot be read"
            ) from error
        return cls(answer=answer, **fields)
