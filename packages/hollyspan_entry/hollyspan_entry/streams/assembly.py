"""Assembly of a whole answer from the chunks of a stream."""

import json

from hollyspan_core.errors import StreamMalformedError

__all__ = ["assemble_answer"]

CHAT_PATH = "/v1/chat/completions"
# Members of a delta that say what the message is, and so do not grow.
FIXED_MEMBERS = frozenset({"role", "index", "id", "type", "name"})


def assemble_answer(events, *, path):
    """Build the answer that is not streamed.

    Parameters
    ----------
    events : iterable of bytes
        Data of the events of one whole stream, without ``[DONE]``.
    path : str
        Path of the request.

    Returns
    -------
    dict
        A chat completion or a completion in OpenAI's shape.

    Raises
    ------
    StreamMalformedError
        A chunk cannot be decoded, or there is none.

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
    """Add a delta to what is there: strings and lists grow."""
    for name, value in delta.items():
        known = whole.get(name)
        if known is None or name in FIXED_MEMBERS:
            whole[name] = copy_list(value)
        elif isinstance(known, str) and isinstance(value, str):
            whole[name] = known + value
        elif isinstance(known, dict) and isinstance(value, dict):
            merge(known, value)
        elif isinstance(known, list) and isinstance(value, list):
            merge_list(known, value)


def merge_list(known, parts):
    """Merge parts that carry an index; append the others."""
    for part in parts:
        same = [entry for entry in known if has_same_index(entry, part)]
        if same:
            merge(same[0], part)
        else:
            known.append(part)


def has_same_index(entry, part):
    if not isinstance(entry, dict) or not isinstance(part, dict):
        return False
    index = part.get("index")
    return index is not None and entry.get("index") == index


def copy_list(value):
    return list(value) if isinstance(value, list) else value
