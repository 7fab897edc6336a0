"""EndpointSlice documents of the instance list."""

__all__ = ["build_slice", "build_slice_list", "read_selector"]

NAMESPACE = "default"
API_VERSION = "discovery.k8s.io/v1"


def build_slice(entry, view=None):
    """Build the EndpointSlice of one instance.

    Parameters
    ----------
    entry : dict
        ``name``, ``service``, ``kind``, ``address``, ``ports`` (name to
        number), ``zone`` and ``conditions``; ``views`` has the ports for
        readers that reach the instance through a proxy.
    view : str, optional
        Name of the reader.
    """
    port_numbers = entry.get("views", {}).get(view, entry["ports"])
    ports = [
        {"name": name, "port": number, "protocol": "TCP"}
        for name, number in port_numbers.items()
    ]
    conditions = {"ready": True, "serving": True, "terminating": False}
    conditions.update(entry.get("conditions", {}))
    return {
        "metadata": {
            "name": entry["name"],
            "namespace": NAMESPACE,
            "labels": build_labels(entry),
        },
        "addressType": "IPv4",
        "ports": ports,
        "endpoints": [
            {
                "addresses": [entry.get("address", "127.0.0.1")],
                "conditions": conditions,
                "zone": entry["zone"],
                "targetRef": {
                    "kind": "Pod",
                    "namespace": NAMESPACE,
                    "name": entry["name"],
                },
            }
        ],
    }


def build_labels(entry):
    """Build the labels of an instance."""
    return {
        "kubernetes.io/service-name": entry["service"],
        "hollyspan.io/kind": entry["kind"],
    }


def build_slice_list(entries, version, view=None):
    """Build an EndpointSliceList."""
    return {
        "kind": "EndpointSliceList",
        "apiVersion": API_VERSION,
        "metadata": {"resourceVersion": str(version)},
        "items": [build_slice(entry, view) for entry in entries],
    }


def read_selector(text):
    """Parse a label selector such as ``a=b,c=d`` into a dict."""
    pairs = [part.partition("=") for part in text.split(",") if part]
    return {name: value.lstrip("=") for name, _, value in pairs}
