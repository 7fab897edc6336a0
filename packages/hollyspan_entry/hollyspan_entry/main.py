"""Command line entry point of the entry daemon."""

import argparse
import sys

from hollyspan_core.errors import SettingsInvalidError
from hollyspan_core.logs import open_log
from hollyspan_core.settings import read_settings

from .daemon import run_daemon

__all__ = ["main"]

EXIT_SETTINGS = 78


def main():
    """Run the daemon until it receives a stop signal.

    Returns
    -------
    int
        Exit code 78 if the settings are invalid.

    Raises
    ------
    SystemExit
        Code 0 after a planned stop, 1 after a failure.
    """
    parser = argparse.ArgumentParser(
        prog="hollyspand", description="hollyspan entry daemon"
    )
    parser.add_argument("--settings", required=True, metavar="PATH")
    arguments = parser.parse_args()
    try:
        settings = read_settings(arguments.settings)
    except SettingsInvalidError as error:
        print(f"hollyspand: {error.message}", file=sys.stderr)
        return EXIT_SETTINGS
    with open_log(path=settings.log_path, instance=settings.instance):
        run_daemon(settings)


if __name__ == "__main__":
    sys.exit(main())
