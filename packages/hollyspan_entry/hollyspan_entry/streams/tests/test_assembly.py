import json

from hypothesis import given
from hypothesis import strategies as st
import pytest

from hollyspan_core.errors import StreamMalformedError
from hollyspan_entry.streams import assemble_answer

CHAT = "/v1/chat/completions"


def encode(*chunks):
    return [json.dumps(chunk).encode() for chunk in chunks]


def test_chat_answer():
    answer = assemble_answer(
        encode(
            {
                "id": "c",
                "object": "chat.completion.chunk",
                "model": "m",
                "choices": [
                    {
                        "index": 0,
                        "delta": {"role": "assistant", "content": "a"},
                        "finish_reason": None,
                    }
                ],
            },
            {"id": "c", "choices": [{"index": 0, "delta": {"content": "b"}}]},
            {
                "id": "c",
                "choices": [
                    {"index": 0, "delta": {}, "finish_reason": "stop"}
                ],
            },
            {"id": "c", "choices": [], "usage": {"total_tokens": 3}},
        ),
        path=CHAT,
    )
    assert answer == {
        "id": "c",
        "object": "chat.completion",
        "model": "m",
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": "ab"},
                "finish_reason": "stop",
            }
        ],
        "usage": {"total_tokens": 3},
    }


def test_tool_calls_are_merged_by_index():
    def part(**call):
        delta = {"tool_calls": [{"index": 0, **call}]}
        return {"choices": [{"index": 0, "delta": delta}]}

    answer = assemble_answer(
        encode(
            part(id="x", function={"name": "f", "arguments": "{"}),
            part(function={"arguments": "}"}),
        ),
        path=CHAT,
    )
    call = answer["choices"][0]["message"]["tool_calls"][0]
    assert call["function"] == {"name": "f", "arguments": "{}"}


def test_no_chunk():
    with pytest.raises(StreamMalformedError):
        assemble_answer([], path=CHAT)


json_values = st.recursive(
    st.none() | st.integers() | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from(["choices", "index", "delta", "text", "tool_calls"]),
        inner,
        max_size=4,
    ),
    max_leaves=12,
)


@given(st.lists(json_values.map(lambda v: json.dumps(v).encode()), max_size=4))
def test_any_chunks_give_an_answer_or_a_typed_error(events):
    try:
        answer = assemble_answer(events, path=CHAT)
    except StreamMalformedError:
        return
    assert isinstance(answer["choices"], list)
