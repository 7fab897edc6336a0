"""The operator command line against running daemons."""

import json
from pathlib import Path
import subprocess
import sys
import time

import pytest

from hollyspan_standins.caller import Caller
from hollyspan_standins.deployment import build_configuration
from hollyspan_standins.deployment import CALLER_KEY
from hollyspan_standins.deployment import is_answering
from hollyspan_standins.deployment import open_deployment

COMMAND = Path(sys.executable).parent / "hollyspan"
TIMEOUT_S = 40
UNUSED_URL = "http://127.0.0.1:9"
PROMPT = "which sizes are left"


@pytest.fixture(scope="module")
def deployment():
    with open_deployment() as opened:
        yield opened


def run_command(*arguments, url):
    return subprocess.run(
        [COMMAND, *arguments],
        env={"HOLLYSPAN_URL": url, "HOLLYSPAN_KEY": "operator-key"},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


@pytest.fixture
def run(deployment):
    """Return a function that runs one command."""
    url = deployment.url(deployment.daemon_names[0])

    def run(*arguments, url=url):
        return run_command(*arguments, url=url)

    return run


@pytest.fixture
def read(run):
    """Return a function that runs a command and decodes its JSON output."""

    def read(*arguments):
        completed = run(*arguments, "--json")
        assert completed.returncode == 0, completed.stderr
        return json.loads(completed.stdout)

    return read


def test_status_names_instances_upstreams_and_generation(deployment, read):
    status = read("status")
    names = {member["instance"] for member in status["members"]}
    assert names == set(deployment.daemon_names)
    upstreams = {upstream["name"] for upstream in status["upstreams"]}
    assert upstreams >= set(deployment.list_upstreams())
    assert status["generation"] >= 1


def test_exception_is_added_with_reason_and_retired(run, read):
    added = run(
        "exception",
        "add",
        "batch.harm_weight",
        "1.0",
        "--workspace=dev",
        "--reason=press night",
        "--id=e1",
    )
    assert added.returncode == 0, added.stderr
    assert "in force on all daemons" in added.stdout
    (entry,) = read("exception", "list")
    assert entry["reason"] == "press night"
    assert run("exception", "retire", "e1").returncode == 0
    assert read("exception", "list") == []


@pytest.mark.parametrize(
    ("arguments", "code", "advice"),
    [
        (
            ["exception", "add", "batch.harm_weight", "1", "--workspace=dev"],
            2,
            "--reason",
        ),
        (
            ["exception", "add", "batch.harm_weight", "1", "--reason=r"],
            2,
            "--workspace",
        ),
        (["exception", "retire", "none"], 2, "exception list"),
        (["config", "check", "missing.json"], 2, "path"),
        (["job", "show", "batch_none"], 3, "--help"),
    ],
)
def test_wrong_input_has_its_exit_code_and_advice(
    run, arguments, code, advice
):
    completed = run(*arguments)
    assert completed.returncode == code
    assert advice in completed.stderr
    assert "Traceback" not in completed.stderr


def test_unreachable_daemon_and_wrong_key_are_reported(run):
    assert run("status", url=UNUSED_URL).returncode == 5
    refused = run("status", "--operator_key=wrong")
    assert refused.returncode == 3
    assert "HOLLYSPAN_KEY" in refused.stderr


def test_second_operator_gets_the_accepted_generation(run, read, tmp_path):
    document = read("config", "show")
    path = tmp_path / "document.json"
    path.write_text(json.dumps(document), encoding="utf-8")
    assert run("config", "apply", str(path)).returncode == 0
    rejected = run("config", "apply", str(path))
    assert rejected.returncode == 4
    assert f"generation {document['generation'] + 1}" in rejected.stderr
    history = read("config", "history")["documents"]
    assert history[0]["generation"] == document["generation"] + 1


def test_check_shows_differences_and_all_faults(run, read, tmp_path):
    document = read("config", "show")
    document["defaults"]["retry"]["attempts"] = 1
    path = tmp_path / "document.json"
    path.write_text(json.dumps(document), encoding="utf-8")
    (difference,) = read("config", "check", str(path))["differences"]
    assert difference["path"] == "defaults.retry.attempts"
    document["defaults"]["retry"]["attempts"] = -1
    document["colour"] = "red"
    path.write_text(json.dumps(document), encoding="utf-8")
    faulty = run("config", "check", str(path))
    assert faulty.returncode == 2
    assert "colour" in faulty.stderr
    assert "$.defaults.retry.attempts" in faulty.stderr


def test_burn_report_counts_requests_and_is_plotted(
    deployment, run, read, tmp_path
):
    name = deployment.daemon_names[0]
    caller = Caller(url=deployment.url(name), key=CALLER_KEY)
    request = {"model": "pips-lm", "prompt": PROMPT, "max_tokens": 4}
    assert list(caller.stream("/v1/completions", request))
    plot = tmp_path / "burn.png"
    report = read("report", "burn", f"--plot={plot}")
    assert report["missing"] == []
    totals = [row["total"] for row in report["rows"]]
    assert max(totals) >= 1
    assert plot.read_bytes().startswith(b"\x89PNG")


def test_logs_hold_no_prompt_and_no_key(deployment, run):
    name = deployment.daemon_names[0]
    caller = Caller(url=deployment.url(name), key=CALLER_KEY)
    request = {"model": "pips-lm", "prompt": PROMPT, "max_tokens": 4}
    caller.post("/v1/completions", request)
    assert run("status").returncode == 0
    lines = [
        path.read_text(encoding="utf-8")
        for path in deployment.folder.glob("*.jsonl")
        if "records" not in path.name
    ]
    assert any("online:request" in text for text in lines)
    for text in lines:
        for secret in (PROMPT, CALLER_KEY, "operator-key", "peer-key"):
            assert secret not in text


def test_first_configuration_is_applied(tmp_path):
    """Daemons without a configuration become ready with their first one."""
    document = build_configuration(model="pips-lm", services=(), slots=8)
    document["generation"] = 0
    path = tmp_path / "document.json"
    path.write_text(json.dumps(document), encoding="utf-8")
    with open_deployment(start_daemons=False, is_configured=False) as fleet:
        for name in fleet.daemon_names:
            fleet.start(name, wait=False)
        url = fleet.url(fleet.daemon_names[0])
        wait_answering(f"{url}/healthz")
        assert not is_answering(f"{url}/readyz")
        completed = run_command("config", "apply", str(path), url=url)
        assert completed.returncode == 0, completed.stderr
        assert "generation 1 is in force" in completed.stdout
        for name in fleet.daemon_names:
            fleet.wait_ready(name)


def wait_answering(url):
    deadline = time.monotonic() + TIMEOUT_S
    while not is_answering(url):
        assert time.monotonic() < deadline
        time.sleep(0.1)
