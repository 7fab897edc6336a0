"""Tests of child processes."""

import sys

import pytest

from hollyspan_standins.deployment import NotReadyError
from hollyspan_standins.deployment import Process

# A process that neither writes a line nor ends.
SCRIPT = """
import time

def wait_for_nothing():
    time.sleep(60)

wait_for_nothing()
"""


@pytest.mark.parametrize("prints_ready_line", [False, True])
def test_a_process_that_is_not_ready_shows_where_it_waits(
    tmp_path, prints_ready_line
):
    process = Process(
        name="waiting",
        arguments=[sys.executable, "-c", SCRIPT],
        log=tmp_path / "waiting.log",
        prints_ready_line=prints_ready_line,
    )
    process.start()
    try:
        with pytest.raises(NotReadyError, match="in wait_for_nothing"):
            if prints_ready_line:
                process.read_ready_line(2.0)
            else:
                process.wait_until(lambda: False, 2.0)
    finally:
        process.kill()
