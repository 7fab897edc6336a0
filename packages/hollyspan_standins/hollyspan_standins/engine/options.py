"""Command-line options of the engine."""

from ..common import build_parser
from .timing import PREFILL_PER_TOKEN_S
from .timing import STEP_BASE_S
from .timing import STEP_PER_STREAM_S

__all__ = ["build_engine_parser"]


def build_engine_parser():
    """Return the parser of the engine's options; times are in seconds."""
    parser = build_parser("Continuously batching model engine")
    parser.add_argument("--name", default="engine")
    parser.add_argument("--model", action="append", help="may be repeated")
    parser.add_argument("--record", help="file for records of events")
    parser.add_argument("--salt", default="", help="changes the tokens")
    parser.add_argument("--checks-fencing", action="store_true")
    add_capacity_options(parser)
    add_lag_options(parser)
    return parser


def add_capacity_options(parser):
    """Add the options for capacity and speed."""
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--speed", type=float, default=1.0)
    parser.add_argument("--step-base", type=float, default=STEP_BASE_S)
    parser.add_argument(
        "--step-per-stream", type=float, default=STEP_PER_STREAM_S
    )
    parser.add_argument(
        "--prefill-per-token", type=float, default=PREFILL_PER_TOKEN_S
    )
    parser.add_argument("--cache-blocks", type=int, default=2048)


def add_lag_options(parser):
    """Add the options for delays, losses and the resume window."""
    parser.add_argument("--resume-seconds", type=float, default=10.0)
    parser.add_argument("--report-lag", type=float, default=0.5)
    parser.add_argument("--event-lag", type=float, default=1.0)
    parser.add_argument(
        "--event-loss", type=float, default=0.05, help="share lost"
    )
