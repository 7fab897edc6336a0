"""Tests of the result checks of the demonstration."""

import pytest

from hollyspan_standins.demo.batch import build_prompts
from hollyspan_standins.demo.batch import check_results
from hollyspan_standins.demo.batch import MAX_TOKENS
from hollyspan_standins.demo.errors import WrongResultError
from hollyspan_standins.engine import generate_expected_text
from hollyspan_standins.engine import join_messages

MODEL = "pips-lm"


def build_line(custom_id, prompt):
    text = generate_expected_text(
        model=MODEL,
        prompt=join_messages([{"role": "user", "content": prompt}]),
        max_tokens=MAX_TOKENS,
    )
    message = {"role": "assistant", "content": text}
    body = {"choices": [{"message": message}]}
    return {"custom_id": custom_id, "response": {"body": body}}


def build_results():
    prompts = build_prompts()
    output = [
        build_line(name, prompt)
        for name, prompt in prompts.items()
        if "[[" not in prompt
    ]
    errors = [
        {"custom_id": name, "error": {}}
        for name, prompt in prompts.items()
        if "[[" in prompt
    ]
    return prompts, output, errors


def test_correct_results_pass():
    prompts, output, errors = build_results()
    assert len(output) == 197
    check_results(prompts, output, errors, MODEL)


def replace_text(output, errors):
    message = output[0]["response"]["body"]["choices"][0]["message"]
    message["content"] = "other"


def remove_item(output, errors):
    del output[0]


def duplicate_item(output, errors):
    output.append(output[0])


def fail_item(output, errors):
    errors.append(output.pop())


@pytest.mark.parametrize(
    "corrupt", [replace_text, remove_item, duplicate_item, fail_item]
)
def test_wrong_results_are_detected(corrupt):
    prompts, output, errors = build_results()
    corrupt(output, errors)
    with pytest.raises(WrongResultError):
        check_results(prompts, output, errors, MODEL)
