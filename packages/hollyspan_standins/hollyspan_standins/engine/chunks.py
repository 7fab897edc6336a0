"""Answers in the format of the OpenAI API."""

import json

__all__ = ["build_answer", "build_chunk", "build_event", "DONE"]

DONE = b"data: [DONE]\n\n"
CHARACTERS_PER_TOKEN = 4


def build_event(stream, number):
    """Return event ``number``, counted from 1, of a stream as SSE."""
    data = json.dumps(build_chunk(stream, number), ensure_ascii=False)
    return f"id: {number}\ndata: {data}\n\n".encode()


def build_chunk(stream, number):
    """Return the document of event ``number``, counted from 1."""
    count = len(stream.tokens)
    if number <= count:
        token = stream.tokens[number - 1]
        return build_envelope(stream, [build_choice(stream, number, token)])
    if number == count + 1:
        return build_envelope(stream, [build_last_choice(stream)])
    return build_envelope(stream, [], usage=build_usage(stream))


def build_envelope(stream, choices, **more):
    """Return a chunk with the given choices."""
    name = "chat.completion.chunk" if stream.is_chat else "text_completion"
    return {
        "id": build_identifier(stream),
        "object": name,
        "created": stream.created,
        "model": stream.model,
        "choices": choices,
        **more,
    }


def build_choice(stream, number, token):
    """Return the choice with one token."""
    choice = {"index": 0, "finish_reason": None, "logprobs": None}
    if not stream.is_chat:
        return {**choice, "text": token}
    delta = {"content": token}
    if number == 1:
        delta["role"] = "assistant"
    return {**choice, "delta": delta}


def build_last_choice(stream):
    """Return the choice that carries the finish reason."""
    choice = {"index": 0, "finish_reason": "length", "logprobs": None}
    if stream.is_chat:
        return {**choice, "delta": {}}
    return {**choice, "text": ""}


def build_answer(stream):
    """Return the unstreamed answer of a finished stream."""
    text = "".join(stream.tokens)
    choice = {"index": 0, "finish_reason": "length", "logprobs": None}
    if stream.is_chat:
        message = {"role": "assistant", "content": text, "refusal": None}
        choice["message"] = message
    else:
        choice["text"] = text
    return {
        "id": build_identifier(stream),
        "object": "chat.completion" if stream.is_chat else "text_completion",
        "created": stream.created,
        "model": stream.model,
        "choices": [choice],
        "usage": build_usage(stream),
    }


def build_identifier(stream):
    """Return the identifier of a completion."""
    prefix = "chatcmpl" if stream.is_chat else "cmpl"
    return f"{prefix}-{stream.identifier}"


def build_usage(stream):
    """Return the token counts of a prompt and its completion."""
    prompt_tokens = count_prompt_tokens(stream.prompt)
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": len(stream.tokens),
        "total_tokens": prompt_tokens + len(stream.tokens),
    }


def count_prompt_tokens(text):
    """Return the number of tokens of a prompt, at least 1."""
    return max(1, len(text) // CHARACTERS_PER_TOKEN)
