"""Tests of the initial configuration and of the settings of daemons."""

from hollyspan_core.configuration import find_configuration_faults
from hollyspan_core.settings import read_settings
from hollyspan_standins.deployment import build_configuration
from hollyspan_standins.deployment.layout import build_trust_layouts
from hollyspan_standins.deployment.members import build_daemons
from hollyspan_standins.deployment.settings import write_settings


def test_configuration_matches_schema():
    document = build_configuration(
        model="pips-lm",
        services=["clock"],
        slots=4,
        keys={"key": "trust"},
        batch={"item_attempts": 2},
    )
    assert find_configuration_faults(document) == []
    assert document["defaults"]["upstream"]["slots"] == 4
    assert document["defaults"]["batch"]["item_attempts"] == 2
    assert document["defaults"]["batch"]["reserve_slots"] == 1
    assert document["keys"][0]["workspace"] == "trust"


def test_settings_match_schema(tmp_path):
    layouts = build_trust_layouts(daemons=1)
    layouts[1].disks = 1
    path = tmp_path / "settings.json"
    for daemon in build_daemons(layouts, tmp_path, 8080):
        write_settings(
            path,
            daemon=daemon,
            store="http://127.0.0.1:1",
            instances="http://127.0.0.1:2",
            log=tmp_path / "log.jsonl",
            timing={"heartbeat": 0.1},
        )
        settings = read_settings(str(path))
        assert settings.instance == daemon.name
        assert settings.timing.heartbeat == 0.1


def test_only_first_daemon_gets_first_port(tmp_path):
    daemons = build_daemons(build_trust_layouts(), tmp_path, 8080)
    assert len(daemons) == 9
    assert [d.http_port == 8080 for d in daemons] == [True] + [False] * 8
    assert not any(d.data_folder for d in daemons)
