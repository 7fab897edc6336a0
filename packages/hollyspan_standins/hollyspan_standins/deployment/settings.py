"""Settings files of daemons."""

import json

from .ports import ADDRESS

__all__ = ["write_settings"]


def write_settings(path, *, daemon, store, instances, log, timing):
    """Write the settings file of one daemon.

    Parameters
    ----------
    path : pathlib.Path
    daemon : Daemon
    store, instances : str
        URLs; those of the proxied links where links are proxied.
    log : pathlib.Path
        Log file of the daemon.
    timing : dict
        Content of the ``timing`` section.
    """
    folder = str(daemon.data_folder) if daemon.data_folder else None
    settings = {
        "instance": daemon.name,
        "data_centre": daemon.data_centre,
        "region": daemon.region,
        "http": {"address": ADDRESS, "port": daemon.http_port},
        "peer": {
            "address": ADDRESS,
            "port": daemon.peer_port,
            "key": "local-peer-key",
        },
        "platform": {"store": store, "instances": instances},
        "operator": {"key": "operator-key"},
        "callers": {"signing_key": "local-signing-key"},
        "data_folder": folder,
        "log": {"path": str(log)},
        "timing": timing,
    }
    path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
