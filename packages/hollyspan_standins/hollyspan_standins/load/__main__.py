"""Send a seeded load and print its figures as JSON."""

import argparse
import json

from twisted.internet.defer import ensureDeferred
from twisted.internet.task import react

from .mix import build_cooperative_mix
from .mix import build_trust_mix
from .runner import plan_load
from .runner import run_load
from .summary import summarize_samples

MIXES = {"trust": build_trust_mix, "cooperative": build_cooperative_mix}


def build_parser():
    """Return the parser of the command-line options."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--target", action="append", required=True, help="NAME=URL, repeatable"
    )
    parser.add_argument("--mix", choices=sorted(MIXES), default="trust")
    parser.add_argument("--model", help="overrides the model of the mix")
    parser.add_argument("--rate", type=float, default=10.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--key", default="dev-key")
    parser.add_argument(
        "--together",
        action="store_true",
        help="simultaneous bursts at all targets",
    )
    parser.add_argument(
        "--direct", action="store_true", help="the targets are engines"
    )
    parser.add_argument("--record", help="file for one JSON line per request")
    return parser


def build_headers(options):
    """Return the headers of each request."""
    if options.direct:
        return {"x-request-class": "online"}
    return {"authorization": f"Bearer {options.key}"}


def write_samples(path, samples):
    """Write one JSON line for each request."""
    with open(path, "w", encoding="utf-8") as stream:
        for sample in samples:
            stream.write(json.dumps(sample.to_document()) + "\n")


async def run(reactor, options):
    """Run the load that the options describe."""
    mix = MIXES[options.mix]()
    mix.model = options.model or mix.model
    targets = dict(text.split("=", 1) for text in options.target)
    plan = plan_load(
        targets=targets,
        mix=mix,
        rate=options.rate,
        seconds=options.seconds,
        seed=options.seed,
        together=options.together,
    )
    samples = await run_load(
        reactor, plan, targets=targets, headers=build_headers(options)
    )
    if options.record:
        write_samples(options.record, samples)
    print(json.dumps(summarize_samples(samples), indent=2))


def main():
    """Run the load and print its figures."""
    options = build_parser().parse_args()
    react(lambda reactor: ensureDeferred(run(reactor, options)))


if __name__ == "__main__":
    main()
