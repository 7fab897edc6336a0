"""Eliot action types of online and service requests."""

import eliot

__all__ = ["ONLINE_REQUEST", "SERVICE_REQUEST"]

ONLINE_REQUEST = eliot.ActionType(
    "online:request",
    eliot.fields(request=str, path=str),
    [eliot.Field("code", lambda code: code, "Code of the error, if any")],
    "One request for a model",
)
SERVICE_REQUEST = eliot.ActionType(
    "services:request",
    eliot.fields(request=str),
    [eliot.Field("code", lambda code: code, "Code of the error, if any")],
    "One request for a plain service",
)
