"""The unmodified official OpenAI client: completions and models."""

import openai
import pytest

from hollyspan_standins.deployment import open_deployment
from hollyspan_standins.engine import generate_expected_text

MODEL = "pips-lm"
MESSAGES = [{"role": "user", "content": "drift of station four"}]
PROMPT = "user:drift of station four"
TOKENS = 6


@pytest.fixture(scope="module")
def deployment():
    with open_deployment() as deployment:
        yield deployment


@pytest.fixture
def client(deployment):
    url = deployment.url(deployment.daemon_names[0])
    return openai.OpenAI(
        base_url=f"{url}/v1", api_key="dev-key", max_retries=0
    )


def build_expected_answer(prompt):
    return generate_expected_text(
        model=MODEL, prompt=prompt, max_tokens=TOKENS
    )


def test_chat(client):
    answer = client.chat.completions.create(
        model=MODEL, messages=MESSAGES, max_tokens=TOKENS
    )
    assert answer.choices[0].message.content == build_expected_answer(PROMPT)
    assert answer.choices[0].message.role == "assistant"
    assert answer.choices[0].finish_reason == "length"
    assert answer.usage.completion_tokens == TOKENS


def test_streamed_chat(client):
    stream = client.chat.completions.create(
        model=MODEL, messages=MESSAGES, max_tokens=TOKENS, stream=True
    )
    chunks = list(stream)
    text = "".join(c.choices[0].delta.content or "" for c in chunks)
    assert text == build_expected_answer(PROMPT)
    assert len({chunk.id for chunk in chunks}) == 1


def test_streamed_chat_with_usage(client):
    stream = client.chat.completions.create(
        model=MODEL,
        messages=MESSAGES,
        max_tokens=TOKENS,
        stream=True,
        stream_options={"include_usage": True},
    )
    assert list(stream)[-1].usage.completion_tokens == TOKENS


def test_completion(client):
    answer = client.completions.create(
        model=MODEL, prompt="tide", max_tokens=TOKENS
    )
    assert answer.choices[0].text == build_expected_answer("tide")
    assert answer.object == "text_completion"


def test_streamed_completion(client):
    stream = client.completions.create(
        model=MODEL, prompt="tide", max_tokens=TOKENS, stream=True
    )
    assert "".join(c.choices[0].text for c in stream) == build_expected_answer(
        "tide"
    )


def test_models(client):
    assert [model.id for model in client.models.list()] == [MODEL]
    assert client.models.retrieve(MODEL).id == MODEL


def test_unknown_model(client):
    with pytest.raises(openai.NotFoundError) as error_info:
        client.chat.completions.create(model="no-lm", messages=MESSAGES)
    assert error_info.value.code == "model_not_found"
    assert error_info.value.body["outcome"] == "not_run"


def test_wrong_key(client):
    with pytest.raises(openai.AuthenticationError) as error_info:
        client.with_options(api_key="wrong").models.list()
    assert error_info.value.code == "invalid_api_key"


def test_prompt_rejected_by_the_engine(client):
    messages = [{"role": "user", "content": "[[fail]]"}]
    with pytest.raises(openai.BadRequestError) as error_info:
        client.chat.completions.create(model=MODEL, messages=messages)
    assert error_info.value.code == "invalid_prompt"


def test_error_in_mid_stream(client):
    messages = [{"role": "user", "content": "[[break]]"}]
    stream = client.chat.completions.create(
        model=MODEL, messages=messages, max_tokens=TOKENS, stream=True
    )
    text = ""
    with pytest.raises(openai.APIError) as error_info:
        for chunk in stream:
            text += chunk.choices[0].delta.content or ""
    assert error_info.value.body["code"] == "stream_lost"
    assert text
