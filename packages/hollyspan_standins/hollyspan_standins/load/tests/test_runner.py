"""Tests of the load generator against an engine."""

import json
import subprocess
import sys

from hollyspan_standins.load import Sample
from hollyspan_standins.load import summarize_samples


def run_load(process, *options):
    arguments = [sys.executable, "-m", "hollyspan_standins.load", "--direct"]
    arguments += ["--target", f"e={process.url}", "--seconds", "1"]
    arguments += options
    completed = subprocess.run(
        arguments, capture_output=True, check=True, timeout=60
    )
    return json.loads(completed.stdout)


def test_answers_are_checked_and_timed(start_standin, tmp_path):
    engine = start_standin("engine", "--speed", "5")
    record = tmp_path / "samples.jsonl"
    summary = run_load(engine, "--rate", "10", "--record", str(record))
    assert summary["requests"] > 0
    assert summary["whole"] == summary["requests"]
    assert summary["first_token_ms"]["count"] == summary["requests"]
    assert summary["failures"] == {}
    samples = [json.loads(line) for line in record.read_text().splitlines()]
    assert len(samples) == summary["requests"]
    assert all(len(s["gaps"]) == s["tokens"] - 1 for s in samples)


def test_refusals_are_counted(start_standin):
    engine = start_standin("engine")
    summary = run_load(engine, "--rate", "10", "--model", "other")
    assert summary["refused"] == summary["requests"] > 0
    assert summary["refused_share"] == 1.0
    assert list(summary["failures"]) == ["model_not_found/None"]


def test_an_unreachable_target_is_a_failure(start_standin):
    engine = start_standin("engine")
    engine.kill()
    summary = run_load(engine, "--rate", "10")
    assert summary["whole"] == 0
    assert sum(summary["failures"].values()) == summary["requests"]


def test_a_summary_of_known_samples():
    sample = Sample(target="a", due=0.0)
    sample.sent = 0.0
    sample.status = 200
    sample.token_times = [0.1, 0.11, 0.13]
    sample.first_token = 0.1
    sample.is_right = True
    summary = summarize_samples([sample])
    assert 99 < summary["first_token_ms"]["p99"] < 101
    assert 9 < summary["between_tokens_ms"]["p50"] < 11
    assert summary["tokens"] == 3
