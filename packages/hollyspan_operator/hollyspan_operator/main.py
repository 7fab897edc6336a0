"""Entry point of the operators' command line."""

import json
import sys

import fire

from . import commands
from .errors import CommandError

__all__ = ["main"]

COMMANDS = {
    "config": {
        "show": commands.show_configuration,
        "check": commands.check_configuration,
        "apply": commands.apply_configuration,
        "history": commands.show_history,
    },
    "exception": {
        "add": commands.add_exception,
        "list": commands.list_exceptions,
        "retire": commands.retire_exception,
    },
    "job": {
        "list": commands.list_jobs,
        "show": commands.show_job,
        "cancel": commands.cancel_job,
    },
    "report": {"burn": commands.report_burn},
    "status": commands.show_status,
    "trace": commands.trace_request,
}


def main():
    """Run one command.

    Returns
    -------
    int
        Exit code: 0 on success, 2 for invalid input, 3 if the request was
        refused, 4 for a conflict with another operator, 5 if no daemon or no
        store is reachable, 6 if a configuration is not in force on all
        daemons in time.
    """
    try:
        fire.Fire(COMMANDS, name="hollyspan")
    except CommandError as error:
        report_failure(error)
        return error.exit_code
    return 0


def report_failure(error):
    if "--json" in sys.argv:
        content = {"code": error.code, "message": error.message}
        content["advice"] = error.advice
        print(json.dumps({"error": content}))
    print(f"hollyspan: {error.message}", file=sys.stderr)
    print(f"hollyspan: {error.advice}", file=sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
