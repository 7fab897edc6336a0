"""Parsing of log lines."""

import json

__all__ = ["LogLine", "parse_line"]

# Fields that are present in every line and do not describe the event.
ENVELOPE_FIELDS = frozenset(
    ("message_type", "timestamp", "instance", "task_uuid", "task_level")
)


class LogLine:
    """Log line about a decision or a change of state.

    Parameters
    ----------
    time : float
        Seconds since the epoch.
    instance : str
        Instance that wrote the line.
    kind : str
        Message type.
    fields : dict
        Inputs and outcome of the decision.
    """

    __slots__ = ("time", "instance", "kind", "fields")

    def __init__(self, *, time, instance, kind, fields):
        self.time = time
        self.instance = instance
        self.kind = kind
        self.fields = fields


def parse_line(text):
    """Parse a log line; text before the JSON object is ignored.

    Parameters
    ----------
    text : str

    Returns
    -------
    LogLine or None
        None if the text is not a log line.
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
            if key not in ENVELOPE_FIELDS
        },
    )
