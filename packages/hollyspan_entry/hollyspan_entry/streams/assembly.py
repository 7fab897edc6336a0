"""Assembly of a complete answer from the chunks of a stream."""

import json

from hollyspan_core.errors import StreamMalformedError

__all__ = ["assemble_answer"]

CHAT_PATH = "/v1/chat/completions"
# Fields of a delta that identify the message; they are not concatenated.
NON_CUMULATIVE_FIELDS = frozenset({"role", "index", "id", "type", "name"})


def assemble_answer(events, *, path):
    """Build the non-streamed answer from the events of a stream.

    Parameters
    ----------
    events : iterable of bytes
        Data of the events of one complete stream, without ``[DONE]``.
    path : str
        Path of the request.

    Returns
    -------
    dict
        A chat completion or a completion in OpenAI's format.

    Raises
    ------
    StreamMalformedError
        A chunk cannot be decoded, or there are no chunks.

    Examples
    --------
    >>> chunk = b'{"id": "c", "choices": [{"index": 0, "text": "hi"}]}'
    >>> assemble_answer([chunk], path="/v1/completions")["choices"]
    [{'index': 0, 'text': 'hi'}]
    """
    is_chat = path == CHAT_PATH
    answer = {}
    choices = {}
    chunks = [decode_chunk(event) for event in events]
    if not chunks:
        raise StreamMalformedError("the stream holds no chunk")
    for chunk in chunks:
        for name, value in chunk.items():
            if name != "choices" and value is not None:
                answer[name] = value
        for part in chunk["choices"]:
            index = part.get("index", 0)
            choice = choices.setdefault(index, {"index": index})
            add_part(choice, part, is_chat=is_chat)
    answer["object"] = "chat.completion" if is_chat else "text_completion"
    answer["choices"] = [choices[index] for index in sorted(choices)]
    return answer


def decode_chunk(event):
    """Decode a chunk and check the parts used for the answer."""
    try:
        chunk = json.loads(event)
    except (ValueError, RecursionError) as error:
        raise StreamMalformedError("a chunk is no JSON") from error
    if not isinstance(chunk, dict):
        raise StreamMalformedError("a chunk is no JSON object")
    parts = chunk["choices"] = chunk.get("choices") or []
    if not isinstance(parts, list) or not all(map(is_choice, parts)):
        raise StreamMalformedError("the choices of a chunk are malformed")
    return chunk


def is_choice(part):
    return (
        isinstance(part, dict)
        and isinstance(part.get("index", 0), int)
        and isinstance(part.get("delta") or {}, dict)
        and isinstance(part.get("text") or "", str)
    )


def add_part(choice, part, *, is_chat):
    """Add one chunk's part of a choice to the choice."""
    for name, value in part.items():
        if name == "index" or value is None and name in choice:
            continue
        if name == "delta" and is_chat:
            merge(choice.setdefault("message", {}), value or {})
        elif name == "text":
            choice["text"] = choice.get("text", "") + (value or "")
        elif name == "logprobs" and isinstance(value, dict):
            merge(choice.setdefault("logprobs", {}), value)
        else:
            choice[name] = value


def merge(whole, delta):
    """Merge a delta in place: strings are concatenated, lists extended."""
    for name, value in delta.items():
        existing = whole.get(name)
        if existing is None or name in NON_CUMULATIVE_FIELDS:
            whole[name] = copy_if_list(value)
        elif isinstance(existing, str) and isinstance(value, str):
            whole[name] = existing + value
        elif isinstance(existing, dict) and isinstance(value, dict):
            merge(existing, value)
        elif isinstance(existing, list) and isinstance(value, list):
            merge_list(existing, value)


def merge_list(existing, parts):
    """Merge parts whose index is in the list; append the others."""
    for part in parts:
        same = [entry for entry in existing if has_same_index(entry, part)]
        if same:
            merge(same[0], part)
        else:
            existing.append(part)


def has_same_index(entry, part):
    if not isinstance(entry, dict) or not isinstance(part, dict):
        return False
    index = part.get("index")
    return index is not None and entry.get("index") == index


def copy_if_list(value):
    return list(value) if isinstance(value, list) else value
