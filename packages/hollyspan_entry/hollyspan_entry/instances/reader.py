"""Decoding of EndpointSlices."""

import json

from hollyspan_core.errors import InstanceListError

from .endpoint import Endpoint

__all__ = ["parse_slices"]

KIND_LABEL = "hollyspan.io/kind"
SERVICE_LABEL = "kubernetes.io/service-name"
KINDS = ("engine", "service", "daemon")


def parse_slices(content):
    """Decode an EndpointSliceList.

    Parameters
    ----------
    content : bytes
        JSON.

    Returns
    -------
    list of Endpoint
        Endpoints of known kinds; slices of other kinds are skipped.

    Raises
    ------
    InstanceListError
        The content is not an EndpointSliceList.
    """
    try:
        slices = json.loads(content)["items"]
        return [endpoint for item in slices for endpoint in parse_slice(item)]
    except (
        AttributeError,
        IndexError,
        KeyError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        raise InstanceListError("the instance list is malformed") from error


def parse_slice(item):
    labels = item["metadata"].get("labels") or {}
    kind = labels.get(KIND_LABEL)
    if kind not in KINDS:
        return
    ports = {
        str(port["name"]): check_port(port["port"]) for port in item["ports"]
    }
    for endpoint in item["endpoints"] or []:
        yield Endpoint(
            name=check_text(endpoint["targetRef"]["name"]),
            kind=kind,
            service=check_text(labels[SERVICE_LABEL]),
            data_centre=check_text(endpoint["zone"]),
            address=check_text(endpoint["addresses"][0]),
            ports=ports,
            serving=is_serving(endpoint.get("conditions") or {}),
        )


def is_serving(conditions):
    # As in Kubernetes, an absent `ready` condition counts as true.
    ready = conditions.get("ready", True)
    return ready is not False and not conditions.get("terminating")


def check_text(value):
    if not isinstance(value, str) or not value:
        raise InstanceListError(
            "a name in the instance list is not a string or is empty"
        )
    return value


def check_port(value):
    if not isinstance(value, int) or not 0 < value < 65536:
        raise InstanceListError("a port in the instance list is out of range")
    return value
