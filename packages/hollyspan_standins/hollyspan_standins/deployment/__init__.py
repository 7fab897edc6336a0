"""Launcher of stand-ins and daemons for tests and local runs."""

from .calls import fetch_json
from .calls import is_answering
from .calls import post_json
from .configuration import build_configuration
from .configuration import CALLER_KEY
from .configuration import write_configuration
from .delays import RunDelays
from .delays import sample_run_delays
from .deployment import Deployment
from .deployment import read_json_lines
from .errors import CallError
from .errors import NoPortError
from .errors import NotReadyError
from .errors import ProcessExitedError
from .launch import open_deployment
from .layout import build_cooperative_layouts
from .layout import build_layouts
from .layout import build_trust_layouts
from .layout import DataCentreLayout
from .links import LINK_KINDS
from .ports import choose_loopback_address
from .ports import pick_port
from .process import Process
from .regions import count_traffic
from .regions import set_link_delays

__all__ = [
    "CALLER_KEY",
    "CallError",
    "Deployment",
    "LINK_KINDS",
    "NoPortError",
    "NotReadyError",
    "DataCentreLayout",
    "Process",
    "ProcessExitedError",
    "RunDelays",
    "build_configuration",
    "build_cooperative_layouts",
    "build_layouts",
    "build_trust_layouts",
    "choose_loopback_address",
    "count_traffic",
    "fetch_json",
    "is_answering",
    "open_deployment",
    "pick_port",
    "post_json",
    "read_json_lines",
    "sample_run_delays",
    "set_link_delays",
    "write_configuration",
]
