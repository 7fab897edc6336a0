"""Tests of the validation of configuration documents."""

import copy
import json

from hypothesis import example
from hypothesis import given
from hypothesis import strategies
import pytest

from hollyspan_core.configuration import find_configuration_faults
from hollyspan_core.configuration import list_differences
from hollyspan_core.configuration import parse_configuration
from hollyspan_core.configuration import Scope
from hollyspan_core.errors import ConfigurationInvalidError

DOCUMENT = {
    "generation": 1,
    "defaults": {
        "online": {
            "deadline_seconds": 30,
            "first_token_seconds": 1.3,
            "between_tokens_seconds": 0.041,
        },
        "workspace": {"requests_per_second": 200, "concurrent_requests": 500},
        "batch": {
            "harm_weight": 0.5,
            "item_attempts": 3,
            "item_timeout_seconds": 60,
            "chunk_items": 500,
            "reserve_slots": 1,
        },
        "retry": {"budget_ratio": 0.1, "attempts": 2},
        "upstream": {"slots": 8, "checks_fencing": False},
    },
    "services": {"pips-lm": {"kind": "model", "idempotent": True}},
    "keys": [{"digest": "0" * 64, "workspace": "dev"}],
    "objectives": [],
    "exceptions": [
        {
            "id": "e1",
            "scope": {"workspace": "dev"},
            "set": {"batch.harm_weight": 1.0},
            "reason": "press night",
            "until": "2026-12-04T00:00:00+00:00",
        }
    ],
}


def change(**values):
    document = copy.deepcopy(DOCUMENT)
    document["exceptions"][0].update(values)
    return document


def test_valid_document_has_no_faults():
    assert find_configuration_faults(DOCUMENT) == []


@pytest.mark.parametrize(
    ("values", "fault"),
    [
        ({"set": {"batch.nothing": 1}}, "no such default"),
        ({"set": {"batch.harm_weight": 7}}, "maximum"),
        ({"until": "tomorrow"}, "ISO 8601"),
        ({"until": "2026-12-04T00:00:00"}, "time zone"),
        ({"scope": {"service": "none"}}, "no service"),
        ({"reason": ""}, "reason"),
    ],
)
def test_exception_fault_is_reported(values, fault):
    faults = find_configuration_faults(change(**values))
    assert len(faults) == 1
    assert "$.exceptions[0]" in faults[0]
    assert fault in faults[0]


def test_all_faults_are_reported_at_once():
    document = change(set={"batch.nothing": 1, "retry.attempts": -1})
    document["exceptions"].append(copy.deepcopy(document["exceptions"][0]))
    assert len(find_configuration_faults(document)) == 5


def test_exception_applies_to_its_scope_until_it_expires():
    configuration = parse_configuration(json.dumps(DOCUMENT).encode())
    name = "batch.harm_weight"
    scope = Scope(workspace="dev")
    end = 1796342400.0
    assert configuration.get(name, scope=scope, now=end - 1) == 1.0
    assert configuration.get(name, scope=scope, now=end) == 0.5
    other = Scope(workspace="other")
    assert configuration.get(name, scope=other, now=end - 1) == 0.5


def test_omitted_value_is_the_schema_default():
    configuration = parse_configuration(json.dumps(DOCUMENT).encode())
    assert (
        configuration.get("batch.policy", scope=Scope(), now=0.0) == "yielding"
    )
    document = change(set={"batch.policy": "fixed_cap"})
    configuration = parse_configuration(json.dumps(document).encode())
    scope = Scope(workspace="dev")
    assert (
        configuration.get("batch.policy", scope=scope, now=0.0) == "fixed_cap"
    )


def test_differences_name_their_scope():
    after = change(set={"batch.harm_weight": 0.9})
    after["defaults"]["retry"]["attempts"] = 1
    differences = list_differences(DOCUMENT, after)
    assert [(d.path, d.scope) for d in differences] == [
        ("defaults.retry.attempts", "everyone without an exception"),
        ("exceptions.e1", "workspace dev"),
    ]


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=3),
    max_leaves=8,
)


@given(
    name=strategies.sampled_from(sorted(DOCUMENT)),
    value=JSON_VALUES,
)
def test_arbitrary_member_gives_a_configuration_or_a_typed_error(name, value):
    content = json.dumps({**DOCUMENT, name: value}).encode()
    try:
        parse_configuration(content)
    except ConfigurationInvalidError as error:
        assert error.message


@example(content=b"[" * 100_000)
@given(content=strategies.binary(max_size=40))
def test_arbitrary_bytes_give_a_typed_error(content):
    with pytest.raises(ConfigurationInvalidError):
        parse_configuration(content)
