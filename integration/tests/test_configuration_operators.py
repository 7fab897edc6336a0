"""The operator API across daemons and workspaces."""

import json

import pytest

from hollyspan_standins.caller import build_items
from hollyspan_standins.caller import Caller
from hollyspan_standins.caller import Operator
from hollyspan_standins.caller import RefusedError
from hollyspan_standins.caller import submit_batch
from hollyspan_standins.caller import wait_batch
from hollyspan_standins.deployment import build_layouts
from hollyspan_standins.deployment import CALLER_KEY
from hollyspan_standins.deployment import open_deployment

MODEL = "pips-lm"
BATCH_TIMEOUT_S = 30.0


@pytest.fixture(name="deployment")
def start_deployment():
    """Start two data centres with two daemons each."""
    layouts = build_layouts("attiki", "kriti", daemons=2, services=())
    with open_deployment(layouts=layouts) as deployment:
        yield deployment


def test_status_and_totals_cover_all_daemons(deployment):
    operator = Operator(deployment=deployment)
    first, *_, last = deployment.daemon_names
    status = operator.get(first, "status")
    states = {m["instance"]: m["state"] for m in status["members"]}
    assert states == dict.fromkeys(deployment.daemon_names, "serving")
    assert operator.get(first, "statistics")["daemons"] == len(states)
    deployment.kill(last)
    assert operator.get(first, "burn")["missing"] == [last]


def test_dry_run_changes_nothing(deployment):
    operator = Operator(deployment=deployment)
    daemon = deployment.daemon_names[0]
    document = operator.get(daemon, "configuration")
    remaining = [
        o for o in document["objectives"] if o["name"] != "first-token"
    ]
    document["objectives"] = remaining
    answer = operator.post(daemon, "configuration?dry_run=1", document)
    assert [d["path"] for d in answer["differences"]] == [
        "objectives.first-token"
    ]
    document["keys"] = 3
    document["services"] = 4
    with pytest.raises(RefusedError) as error_info:
        operator.post(daemon, "configuration?dry_run=1", document)
    text = json.loads(error_info.value.body)["error"]["message"]
    assert "$.keys" in text
    assert "$.services" in text
    assert operator.get(daemon, "configuration")["generation"] == 1


def test_caller_key_is_rejected(deployment):
    caller = Caller(
        url=deployment.url(deployment.daemon_names[0]), key=CALLER_KEY
    )
    for path in ("status", "configuration", "jobs", "burn", "none"):
        with pytest.raises(RefusedError) as error_info:
            caller.get(f"/operator/v1/{path}")
        assert error_info.value.status == 401


def test_job_is_listed_and_cancelled(deployment):
    operator = Operator(deployment=deployment)
    first, *_, last = deployment.daemon_names
    caller = Caller(url=deployment.url(first), key=CALLER_KEY)
    prompts = {f"i{number}": "pip" for number in range(400)}
    items = build_items(prompts, model=MODEL, max_tokens=50)
    job = submit_batch(caller, items)["id"]
    listed = operator.get(last, "jobs?workspace=dev")["jobs"]
    assert [entry["id"] for entry in listed] == [job]
    assert operator.get(last, f"jobs/{job}")["workspace"] == "dev"
    answer = operator.post(last, f"jobs/{job}/cancel", {})
    assert answer["status"] in ("cancelling", "cancelled")
    ended = wait_batch(caller, job, seconds=BATCH_TIMEOUT_S)
    assert ended["status"] == "cancelled"
    with pytest.raises(RefusedError) as error_info:
        operator.get(last, "jobs/none")
    assert error_info.value.status == 404
