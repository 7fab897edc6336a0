"""Tests of the recording of events against objectives."""

import types

from hollyspan_core.configuration import Configuration
from hollyspan_entry.burn import BurnCounters
from hollyspan_entry.burn import record_first_token

PAST_TIME = "2020-01-01T00:00:00+00:00"


def build_runtime(*, until):
    document = {
        "generation": 1,
        "defaults": {"online": {"first_token_seconds": 1.3}},
        "services": {},
        "keys": [],
        "objectives": [],
        "exceptions": [
            {
                "id": "e1",
                "scope": {"service": "m"},
                "set": {"online.first_token_seconds": 9.0},
                "reason": "trial",
                "until": until,
            }
        ],
    }
    return types.SimpleNamespace(
        settings=types.SimpleNamespace(data_centre="attiki-a"),
        configurations=types.SimpleNamespace(
            current=Configuration(document=document)
        ),
        burn=BurnCounters(data_centre="attiki-a", clock=lambda: 0.0),
    )


def count_good(runtime):
    record_first_token(runtime, service="m", seconds=5.0)
    (window,) = runtime.burn.windows.values()
    return window.count(minutes=60, minute=0)


def test_an_exception_applies_until_its_end():
    assert count_good(build_runtime(until=None)) == (1, 1)
    assert count_good(build_runtime(until=PAST_TIME)) == (0, 1)
