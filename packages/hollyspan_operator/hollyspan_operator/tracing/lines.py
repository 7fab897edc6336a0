"""Lines of a log."""

import json

__all__ = ["LogLine", "parse_line"]

# Members of each line that say nothing of the decision.
ENVELOPE = frozenset(
    ("message_type", "timestamp", "instance", "task_uuid", "task_level")
)


class LogLine:
    """One decision or change of belief.

    Parameters
    ----------
    time : float
        Unix seconds.
    instance : str
    kind : str
    fields : dict
        Inputs and outcome.
    """

    __slots__ = ("time", "instance", "kind", "fields")

    def __init__(self, *, time, instance, kind, fields):
        self.time = time
        self.instance = instance
        self.kind = kind
        self.fields = fields


def parse_line(text):
    """Parse a line; whatever stands before the JSON is passed over.

    Parameters
    ----------
    text : str

    Returns
    -------
    LogLine or None
        None for a line that is no log line.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        document = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(document, dict) or "message_type" not in document:
        return None
    return LogLine(
        time=float(document.get("timestamp", 0.0)),
        instance=str(document.get("instance", "")),
        kind=document["message_type"],
        fields={
            key: value
            for key, value in document.items()
            if key not in ENVELOPE
        },
    )
