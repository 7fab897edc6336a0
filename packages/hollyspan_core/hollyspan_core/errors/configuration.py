"""Errors of settings and of the configuration document."""

from .base import HollyspanError
from .base import Outcome

__all__ = [
    "ConfigurationConflictError",
    "ConfigurationInvalidError",
    "ConfigurationMissingError",
    "KeysUnconfirmedError",
    "SettingsInvalidError",
]


class SettingsInvalidError(HollyspanError):
    """The settings file is missing or invalid."""

    status = 500
    kind = "server_error"
    code = "settings_invalid"
    default_outcome = Outcome.NOT_RUN


class ConfigurationInvalidError(HollyspanError):
    """A configuration document is invalid."""

    status = 400
    kind = "invalid_request_error"
    code = "configuration_invalid"
    default_outcome = Outcome.NOT_RUN


class ConfigurationConflictError(HollyspanError):
    """Another writer's generation was accepted first."""

    status = 409
    kind = "conflict_error"
    code = "configuration_conflict"
    default_outcome = Outcome.NOT_RUN


class ConfigurationMissingError(HollyspanError):
    """No configuration is in force yet."""

    status = 503
    kind = "server_error"
    code = "configuration_missing"
    default_outcome = Outcome.NOT_RUN


class KeysUnconfirmedError(HollyspanError):
    """Nobody has confirmed of late that the known keys are in force."""

    status = 503
    kind = "server_error"
    code = "keys_unconfirmed"
    default_outcome = Outcome.NOT_RUN
