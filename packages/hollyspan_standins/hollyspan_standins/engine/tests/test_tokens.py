"""Tests of the tokens of an answer."""

from hollyspan_standins.engine import generate_expected_text
from hollyspan_standins.engine import generate_expected_tokens

REQUEST = {"model": "pips-lm", "prompt": "hello"}


def test_the_same_request_has_the_same_tokens():
    assert generate_expected_tokens(**REQUEST) == generate_expected_tokens(
        **REQUEST
    )
    assert len(generate_expected_tokens(**REQUEST)) == 16
    assert len(generate_expected_tokens(**REQUEST, max_tokens=3)) == 3


def test_every_field_changes_the_answer():
    texts = {
        generate_expected_text(**{**REQUEST, **change})
        for change in (
            {},
            {"model": "other"},
            {"prompt": "other"},
            {"max_tokens": 17},
            {"seed": 2},
            {"salt": "other"},
        )
    }
    assert len(texts) == 6
