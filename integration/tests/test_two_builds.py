"""Tests of the build in production beside this one, as processes."""

import asyncio
import io
from pathlib import Path
import subprocess
import tarfile
import tomllib

import pytest

from hollyspan_platform.tests.soak.checks import find_violations
from hollyspan_platform.tests.soak.fleet import open_fleet
from hollyspan_platform.tests.soak.load import Load
from hollyspan_platform.tests.soak.upgrade import Upgrade

ROOT = Path(__file__).parents[2]
SETTLE_TIME_S = 2.0


@pytest.fixture(scope="module")
def production(tmp_path_factory):
    """Source tree of the build that the deploy file names."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    archive = subprocess.run(
        ["git", "archive", deploy["production"], "packages", "platform"],
        cwd=ROOT,
        check=True,
        capture_output=True,
    )
    folder = tmp_path_factory.mktemp("production")
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as content:
        content.extractall(folder, filter="data")
    return folder


async def run_upgrade(upgrade, load):
    async def steps():
        await upgrade.run()
        await asyncio.sleep(SETTLE_TIME_S)

    await load.run(asyncio.create_task(steps()))
    await load.check_without_faults()
    await load.check_all_fronts()


# Failure: records, messages or forwarded requests that one build cannot read.
@pytest.mark.parametrize("has_kills", [False, True])
def test_guarantees_hold_while_a_build_is_replaced(
    production, has_kills, tmp_path
):
    with open_fleet(seed=1, folder=tmp_path, build=production) as fleet:
        upgrade = Upgrade(fleet=fleet, old=production, has_kills=has_kills)
        load = Load(fleet=fleet, seed=1, resumes_broken=has_kills)
        asyncio.run(run_upgrade(upgrade, load))
        violations = find_violations(
            load, fleet.read_records(), is_planned=not has_kills
        )
        logs = "".join(
            path.read_text(encoding="utf-8", errors="replace")
            for path in tmp_path.glob("*-[0-9].log")
        )
    assert violations == [], upgrade.history
    assert len(load.jobs) > 3
    for message in ("peer:malformed", "job:unreadable", "exception"):
        assert f'"{message}"' not in logs
