"""Run the demonstration; see ``make demo``."""

import argparse
import sys

from ..caller import Caller
from ..common import StandinError
from ..deployment import CALLER_KEY
from ..deployment import open_deployment
from .batch import run_batch
from .errors import WrongResultError
from .online import call_service
from .online import run_online

MODEL = "pips-lm"
SERVICE = "clock"


def run_demo(folder):
    """Start a deployment, send requests and a batch job, and stop it."""
    print("starting store, instance list, engines, service and daemons")
    with open_deployment(model=MODEL, folder=folder) as deployment:
        for name in deployment.daemon_names:
            print(f"  {name} at {deployment.url(name)}")
        entry = deployment.daemon_names[0]
        caller = Caller(url=deployment.url(entry), key=CALLER_KEY)
        run_online(caller, MODEL)
        call_service(caller, SERVICE)
        run_batch(caller, MODEL)
        print("stopping all")
    check_stop(deployment)


def check_stop(deployment):
    """Check that every process stopped gracefully."""
    codes = {name: c for name, c in deployment.stop_codes.items() if c != 0}
    if codes:
        raise WrongResultError(f"exit codes other than 0: {codes}")
    print(f"{len(deployment.stop_codes)} processes stopped with exit code 0")


def read_options():
    """Return the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--folder", help="keeps settings, logs and records there"
    )
    return parser.parse_args()


def main():
    """Run the demonstration.

    Returns
    -------
    int
        0, or 1 after the reason has been printed.
    """
    options = read_options()
    try:
        run_demo(options.folder)
    except (StandinError, OSError) as error:
        print(f"demo failed: {type(error).__name__}: {error}")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
