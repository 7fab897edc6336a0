"""What the tests of jobs share."""

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
from hollyspan_standins.engine import expected_text
from hollyspan_standins.engine import join_messages

MODEL = "pips-lm"
KEY = "dev-key"
END_SECONDS = 60.0


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
        """Return a caller of a daemon by its index."""
        name = self.deployment.daemon_names[daemon]
        return Caller(url=self.deployment.url(name), key=KEY)

    def submit(self, prompts, *, daemon=0, max_tokens=16, **more):
        """Upload items and create a batch."""
        self.max_tokens = max_tokens
        items = build_items(prompts, model=MODEL, max_tokens=max_tokens)
        return submit_batch(self.open_caller(daemon), items, **more)

    def wait(self, batch, *, daemon=0):
        """Wait until a batch has ended."""
        caller = self.open_caller(daemon)
        return wait_batch(caller, batch["id"], seconds=END_SECONDS)

    def read_results(self, batch, *, daemon=0):
        """Return all result lines of a batch that has ended."""
        output, errors = fetch_results(self.open_caller(daemon), batch)
        return output + errors

    def check_whole(self, prompts, batch, *, daemon=0):
        """Check that each item has one result; return the lines."""
        lines = self.read_results(batch, daemon=daemon)
        assert find_unfinished_items(prompts, lines) == []
        assert find_duplicate_results(lines) == []
        counts = batch["request_counts"]
        assert counts["total"] == len(prompts)
        assert counts["completed"] + counts["failed"] == len(lines)
        self.check_answers(prompts, lines)
        return lines

    def check_answers(self, prompts, lines):
        """Check that each answer is the engine's for its own item."""
        answers = []
        for line in lines:
            if line["error"] is None:
                name = line["custom_id"]
                choice = line["response"]["body"]["choices"][0]
                text = choice["message"]["content"]
                answers.append((name, text, self.expect(prompts[name])))
        assert find_wrong_answers(answers) == []

    def expect(self, prompt):
        """Return what an engine answers to a prompt."""
        messages = [{"role": "user", "content": prompt}]
        return expected_text(
            model=MODEL,
            prompt=join_messages(messages),
            max_tokens=self.max_tokens,
        )

    def wait_until(self, check, *, seconds=20.0):
        """Wait until a function returns something true; return it."""
        limit = time.monotonic() + seconds
        while time.monotonic() < limit:
            found = check()
            if found:
                return found
            time.sleep(0.02)
        return pytest.fail(f"not within {seconds} s")

    def count_events(self, event, *, batch):
        """Count the engines' records of a kind for the items of a batch."""
        return sum(
            record["event"] == event
            and (record.get("key") or "").startswith(batch["id"])
            for record in self.deployment.read_records()
        )

    def find_holders(self, batch):
        """Return the daemons in whose data centres items were started."""
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
def open_tester():
    """Return the class that runs and checks jobs."""
    return JobTester
