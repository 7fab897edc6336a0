"""Failures of the command line, each with its exit code."""

from hollyspan_core.errors import HollyspanError

__all__ = [
    "CommandError",
    "DaemonAnswerError",
    "DaemonUnreachableError",
    "InputFileError",
    "MissingReasonError",
    "MissingScopeError",
    "NotInForceError",
    "PlotLibraryMissingError",
    "UnknownExceptionError",
]

EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_CONFLICT = 4
EXIT_UNREACHABLE = 5
EXIT_NOT_IN_FORCE = 6

EXIT_BY_STATUS = {409: EXIT_CONFLICT, 503: EXIT_UNREACHABLE}


class CommandError(HollyspanError):
    """A command failed.

    Attributes
    ----------
    exit_code : int
        Exit code of the process.
    advice : str
        What to do next.
    """

    code = "command_failed"
    exit_code = EXIT_REFUSED
    advice = "see 'hollyspan --help'"


class InputFileError(CommandError):
    """A file named on the command line cannot be used."""

    code = "input_file"
    exit_code = EXIT_USAGE
    advice = "check the path and that the file holds JSON"


class MissingScopeError(CommandError):
    """An exception was given without saying for whom it holds."""

    code = "scope_missing"
    exit_code = EXIT_USAGE
    advice = "name one of --service, --workspace, --data_centre, --upstream"


class UnknownExceptionError(CommandError):
    """No exception of that name is in force."""

    code = "exception_unknown"
    exit_code = EXIT_USAGE
    advice = "see 'hollyspan exception list'"


class MissingReasonError(CommandError):
    """An exception was given without its reason."""

    code = "reason_missing"
    exit_code = EXIT_USAGE
    advice = "say why it exists with --reason"


class PlotLibraryMissingError(CommandError):
    """The library for plots is not installed."""

    code = "plot_library_missing"
    exit_code = EXIT_USAGE
    advice = "install hollyspan-operator[plot], or leave out --plot"


class DaemonUnreachableError(CommandError):
    """No daemon answered."""

    code = "daemon_unreachable"
    exit_code = EXIT_UNREACHABLE
    advice = (
        "check --url or HOLLYSPAN_URL, and that the daemon runs; any other"
        " daemon will do"
    )


class DaemonAnswerError(CommandError):
    """A daemon refused a call.

    Parameters
    ----------
    status : int
        HTTP status.
    error : dict
        The error object of the answer.
    """

    code = "daemon_refused"

    def __init__(self, *, status, error):
        super().__init__(error.get("message", f"HTTP status {status}"))
        self.status = status
        self.code = error.get("code", self.code)
        self.exit_code = EXIT_BY_STATUS.get(status, EXIT_REFUSED)
        self.advice = ADVICE_BY_CODE.get(self.code, self.advice)


class NotInForceError(CommandError):
    """A configuration is not yet in force on all daemons."""

    code = "not_in_force"
    exit_code = EXIT_NOT_IN_FORCE
    advice = "run 'hollyspan status'; daemons that are cut off follow later"


ADVICE_BY_CODE = {
    "configuration_conflict": (
        "read the document in force with 'hollyspan config show --json',"
        " make the change there and apply it again"
    ),
    "configuration_invalid": "mend the faults named and apply again",
    "invalid_api_key": "check --operator_key or HOLLYSPAN_KEY",
    "store_unavailable": "the platform's store is down; try again later",
    "store_reply_lost": (
        "the change may have been accepted; run 'hollyspan config show'"
    ),
}
