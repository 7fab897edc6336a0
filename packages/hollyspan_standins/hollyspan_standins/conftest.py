"""Fixtures shared by the tests of all stand-ins."""

import sys

import pytest

from hollyspan_standins.deployment.process import Process


@pytest.fixture
def start_standin(tmp_path):
    """Return a function that starts a stand-in and returns its process.

    All stand-ins are stopped at the end of the test and have to exit with 0.
    """
    started = []

    def start(module, *options):
        name = f"{module}-{len(started)}"
        process = Process(
            name=name,
            arguments=[
                sys.executable,
                "-m",
                f"hollyspan_standins.{module}",
                *options,
            ],
            log=tmp_path / f"{name}.log",
            prints_ready_line=True,
        )
        started.append(process)
        process.start()
        process.read_ready_line()
        process.url = f"http://127.0.0.1:{process.ready['port']}"
        return process

    yield start
    for process in started:
        if process.child is not None:
            process.terminate()
            assert process.wait_for_exit(10) == 0
