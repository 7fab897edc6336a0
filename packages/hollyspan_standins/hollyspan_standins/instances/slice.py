"""EndpointSlice documents."""

__all__ = ["build_slice", "build_slice_list", "read_selector"]

NAMESPACE = "default"
API_VERSION = "discovery.k8s.io/v1"


def build_slice(entry, view=None):
    """Return the EndpointSlice of one instance.

    Parameters
    ----------
    entry : dict
        ``name``, ``service``, ``kind``, ``address``, ``ports`` (name to
        number), ``zone``, and ``conditions``; ``views`` holds other ports
        for those readers that reach the instance through a proxy.
    view : str, optional
        The reader.
    """
    numbers = entry.get("views", {}).get(view, entry["ports"])
    ports = [
        {"name": name, "port": number, "protocol": "TCP"}
        for name, number in numbers.items()
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
    """Return the labels of an instance."""
    return {
        "kubernetes.io/service-name": entry["service"],
        "hollyspan.io/kind": entry["kind"],
    }


def build_slice_list(entries, version, view=None):
    """Return an EndpointSliceList."""
    return {
        "kind": "EndpointSliceList",
        "apiVersion": API_VERSION,
        "metadata": {"resourceVersion": str(version)},
        "items": [build_slice(entry, view) for entry in entries],
    }


def read_selector(text):
    """Return a label selector such as ``a=b,c=d`` as a dict."""
    pairs = [part.partition("=") for part in text.split(",") if part]
    return {name: value.lstrip("=") for name, _, value in pairs}
