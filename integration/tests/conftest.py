"""Fixtures for tests that run jobs."""

import time

import pytest

from hollyspan_standins.caller import build_items
from hollyspan_standins.caller import Caller
from hollyspan_standins.caller import fetch_results
from hollyspan_standins.caller import submit_batch
from hollyspan_standins.caller import wait_batch
from hollyspan_standins.checker import find_duplicate_results
from hollyspan_standins.checker import find_unfinished_items
from hollyspan_standins.checker import find_wrong_answers
from hollyspan_standins.engine import generate_expected_text
from hollyspan_standins.engine import join_messages

MODEL = "pips-lm"
API_KEY = "dev-key"
BATCH_TIMEOUT_S = 60.0


class JobTester:
    """Runs jobs in a deployment and checks their results.

    Parameters
    ----------
    deployment : Deployment
    """

    def __init__(self, *, deployment):
        self.deployment = deployment
        self.max_tokens = None

    def open_caller(self, daemon=0):
        """Return a caller of the daemon with this index."""
        name = self.deployment.daemon_names[daemon]
        return Caller(url=self.deployment.url(name), key=API_KEY)

    def submit(self, prompts, *, daemon=0, max_tokens=16, **options):
        """Upload one item per prompt and create a batch."""
        self.max_tokens = max_tokens
        items = build_items(prompts, model=MODEL, max_tokens=max_tokens)
        return submit_batch(self.open_caller(daemon), items, **options)

    def wait(self, batch, *, daemon=0):
        """Wait until a batch has ended."""
        caller = self.open_caller(daemon)
        return wait_batch(caller, batch["id"], seconds=BATCH_TIMEOUT_S)

    def read_results(self, batch, *, daemon=0):
        """Return all output and error lines of a batch that has ended."""
        output, errors = fetch_results(self.open_caller(daemon), batch)
        return output + errors

    def check_complete(self, prompts, batch, *, daemon=0):
        """Check that each item has exactly one result; return the lines."""
        lines = self.read_results(batch, daemon=daemon)
        assert find_unfinished_items(prompts, lines) == []
        assert find_duplicate_results(lines) == []
        counts = batch["request_counts"]
        assert counts["total"] == len(prompts)
        assert counts["completed"] + counts["failed"] == len(lines)
        self.check_answers(prompts, lines)
        return lines

    def check_answers(self, prompts, lines):
        """Check each answer against the engine's text for its prompt."""
        answers = []
        for line in lines:
            if line["error"] is None:
                name = line["custom_id"]
                choice = line["response"]["body"]["choices"][0]
                text = choice["message"]["content"]
                answers.append(
                    (name, text, self.build_expected_answer(prompts[name]))
                )
        assert find_wrong_answers(answers) == []

    def build_expected_answer(self, prompt):
        """Return the text that an engine generates for a prompt."""
        messages = [{"role": "user", "content": prompt}]
        return generate_expected_text(
            model=MODEL,
            prompt=join_messages(messages),
            max_tokens=self.max_tokens,
        )

    def wait_until(self, condition, *, seconds=20.0):
        """Call a function until its result is true; return the result."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            result = condition()
            if result:
                return result
            time.sleep(0.02)
        return pytest.fail(f"condition not met within {seconds} s")

    def count_events(self, event, *, batch):
        """Count the engines' records of an event for the items of a batch."""
        return sum(
            record["event"] == event
            and (record.get("key") or "").startswith(batch["id"])
            for record in self.deployment.read_records()
        )

    def find_holders(self, batch):
        """Return the daemons of the data centres that ran items of a batch."""
        engines = {
            record["engine"]
            for record in self.deployment.read_records()
            if (record.get("key") or "").startswith(batch["id"])
        }
        return sorted(
            {
                daemon.name
                for daemon in self.deployment.daemons
                for engine in engines
                if engine.startswith(daemon.data_centre)
            }
        )


@pytest.fixture(scope="session")
def create_tester():
    """Return a factory of job testers."""
    return JobTester
