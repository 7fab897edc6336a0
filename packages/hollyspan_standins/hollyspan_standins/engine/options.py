"""Options of the engine."""

from ..common import build_parser
from .timing import BASE_SECONDS
from .timing import PER_STREAM_SECONDS
from .timing import PREFILL_SECONDS_PER_TOKEN

__all__ = ["build_engine_parser"]


def build_engine_parser():
    """Return the parser of the engine's options; times are seconds."""
    parser = build_parser("Continuously batching model engine")
    parser.add_argument("--name", default="engine")
    parser.add_argument("--model", action="append", help="may be repeated")
    parser.add_argument("--record", help="file for what happens")
    parser.add_argument("--salt", default="", help="changes the tokens")
    parser.add_argument("--checks-fencing", action="store_true")
    add_capacity_options(parser)
    add_lag_options(parser)
    return parser


def add_capacity_options(parser):
    """Add what decides how much the engine can do."""
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--speed", type=float, default=1.0)
    parser.add_argument("--step-base", type=float, default=BASE_SECONDS)
    parser.add_argument(
        "--step-per-stream", type=float, default=PER_STREAM_SECONDS
    )
    parser.add_argument(
        "--prefill-per-token", type=float, default=PREFILL_SECONDS_PER_TOKEN
    )
    parser.add_argument("--cache-blocks", type=int, default=2048)


def add_lag_options(parser):
    """Add what is late, lost or kept for a time."""
    parser.add_argument("--resume-seconds", type=float, default=10.0)
    parser.add_argument("--report-lag", type=float, default=0.5)
    parser.add_argument("--event-lag", type=float, default=1.0)
    parser.add_argument(
        "--event-loss", type=float, default=0.05, help="share lost"
    )
