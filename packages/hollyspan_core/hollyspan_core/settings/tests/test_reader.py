"""Tests of the settings file."""

import json

from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
import pytest

from hollyspan_core.errors import SettingsInvalidError
from hollyspan_core.settings import read_settings

DOCUMENT = {
    "instance": "attiki-a-1",
    "data_centre": "attiki-a",
    "region": "attiki",
    "http": {"address": "127.0.0.1", "port": 8080},
    "peer": {"address": "127.0.0.1", "port": 7000, "key": "secret"},
    "platform": {
        "store": "http://127.0.0.1:2379",
        "instances": "http://127.0.0.1:2380",
    },
    "operator": {"key": "operator"},
    "callers": {"signing_key": "signing"},
    "timing": {"lease": 4},
}


def write(folder, document):
    path = folder / "settings.json"
    path.write_text(json.dumps(document), encoding="utf-8")
    return path


def test_settings_are_read_with_defaults(tmp_path):
    settings = read_settings(write(tmp_path, DOCUMENT))
    assert settings.timing.lease == 4
    assert settings.timing.heartbeat == 0.5
    assert settings.data_folder is None
    assert settings.peer_key == b"secret"


def test_all_faults_are_reported_with_their_paths(tmp_path):
    faulty = {**DOCUMENT, "http": {"port": 0}, "colour": "red"}
    with pytest.raises(SettingsInvalidError) as error_info:
        read_settings(write(tmp_path, faulty))
    message = error_info.value.message
    assert "$.http: 'address' is a required property" in message
    assert "$.http.port" in message
    assert "colour" in message


def test_missing_file_is_a_typed_error(tmp_path):
    with pytest.raises(SettingsInvalidError):
        read_settings(tmp_path / "none.json")


@hypothesis_settings(
    suppress_health_check=[HealthCheck.function_scoped_fixture]
)
@given(
    name=strategies.sampled_from(sorted(DOCUMENT)),
    value=strategies.none()
    | strategies.integers()
    | strategies.text(max_size=8)
    | strategies.dictionaries(strategies.text(max_size=4), strategies.none()),
)
def test_arbitrary_member_is_accepted_or_a_typed_error(tmp_path, name, value):
    path = write(tmp_path, {**DOCUMENT, name: value})
    try:
        read_settings(path)
    except SettingsInvalidError as error:
        assert error.message
