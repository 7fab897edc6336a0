"""Errors of the command line and their exit codes."""

from hollyspan_core.errors import HollyspanError

__all__ = [
    "AnswerTooLargeError",
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
        Suggested next step for the operator.
    """

    code = "command_failed"
    exit_code = EXIT_REFUSED
    advice = "see 'hollyspan --help'"


class InputFileError(CommandError):
    """A file named on the command line cannot be used."""

    code = "input_file"
    exit_code = EXIT_USAGE
    advice = "check the path and that the file contains JSON"


class MissingScopeError(CommandError):
    """An exception was given without a scope."""

    code = "scope_missing"
    exit_code = EXIT_USAGE
    advice = "give one of --service, --workspace, --data_centre, --upstream"


class UnknownExceptionError(CommandError):
    """No exception with this identifier is in force."""

    code = "exception_unknown"
    exit_code = EXIT_USAGE
    advice = "see 'hollyspan exception list'"


class MissingReasonError(CommandError):
    """An exception was given without a reason."""

    code = "reason_missing"
    exit_code = EXIT_USAGE
    advice = "give the reason with --reason"


class PlotLibraryMissingError(CommandError):
    """The plotting library is not installed."""

    code = "plot_library_missing"
    exit_code = EXIT_USAGE
    advice = "install hollyspan-operator[plot], or leave out --plot"


class DaemonUnreachableError(CommandError):
    """No daemon answered."""

    code = "daemon_unreachable"
    exit_code = EXIT_UNREACHABLE
    advice = (
        "check --url or HOLLYSPAN_URL, and that the daemon is running; any"
        " other daemon can be used instead"
    )


class AnswerTooLargeError(CommandError):
    """An answer of a daemon exceeds the limit on what is read."""

    code = "answer_too_large"
    advice = "ask for fewer entries, or use another daemon"


class DaemonAnswerError(CommandError):
    """A daemon refused a request.

    Parameters
    ----------
    status : int
        HTTP status.
    error : dict
        Error object of the answer.
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
    advice = "run 'hollyspan status'; unreachable daemons are updated later"


ADVICE_BY_CODE = {
    "configuration_conflict": (
        "read the document in force with 'hollyspan config show --json',"
        " repeat the change in it and apply it again"
    ),
    "configuration_invalid": "correct the listed faults and apply again",
    "invalid_api_key": "check --operator_key or HOLLYSPAN_KEY",
    "store_unavailable": "the platform's store is down; try again later",
    "store_reply_lost": (
        "the change may have been accepted; run 'hollyspan config show'"
    ),
}
