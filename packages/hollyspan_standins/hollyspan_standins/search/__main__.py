"""Plays drawn scenarios, reports broken rules and shrinks them."""

import argparse
from concurrent.futures import ProcessPoolExecutor
import itertools
from pathlib import Path
import time

from .corpus import Corpus
from .corpus import list_combinations
from .drawing import GRAMMARS
from .driver import play_scenario
from .shrinking import shrink

__all__ = ["main"]

# Scenarios of which the one with the rarest combination is played next.
CANDIDATES = 4
PROGRESS_INTERVAL_S = 10.0
MAX_TEXT = 400
SHRINKING_RUNS = 400


def main():
    """Search for scenarios that break a rule."""
    options = read_options()
    corpus = Corpus(path=options.corpus)
    if options.show is not None:
        show(options.grammar, options.show, with_log=options.log)
        return
    try:
        search(options, corpus)
    except KeyboardInterrupt:
        print("stopped")
    report(corpus, options)


def read_options():
    parser = argparse.ArgumentParser(
        prog="python -m hollyspan_standins.search", description=__doc__
    )
    parser.add_argument("--grammar", choices=sorted(GRAMMARS), default="all")
    parser.add_argument(
        "--seeds", default="1-200", help="such as 1-200; ignored with minutes"
    )
    parser.add_argument("--minutes", type=float, help="play seeds so long")
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument("--corpus", type=Path, help="file of earlier runs")
    parser.add_argument("--max-gateways", type=int, default=40)
    parser.add_argument("--shrink", action="store_true")
    parser.add_argument("--show", type=int, help="play one seed and print it")
    parser.add_argument("--log", action="store_true", help="with its log")
    return parser.parse_args()


def show(grammar, seed, *, with_log):
    """Play one seed and print what it does."""
    scenario = GRAMMARS[grammar](seed)
    outcome = play_scenario(scenario)
    print(scenario)
    if with_log:
        for line in outcome.log:
            print(*line)
    for violation in outcome.violations:
        print(violation)
    print(f"{outcome.seconds:.1f} s simulated, digest {outcome.digest}")


def search(options, corpus):
    """Play the seeds that the corpus does not have yet."""
    begun = shown = time.monotonic()
    end = None if options.minutes is None else begun + options.minutes * 60
    seeds = list_seeds(options, corpus)
    played = 0
    with ProcessPoolExecutor(options.processes) as pool:
        while batch := list(itertools.islice(seeds, options.processes * 8)):
            names = [options.grammar] * len(batch)
            for record in pool.map(play_seed, names, batch):
                corpus.add(record)
                played += 1
            now = time.monotonic()
            if now - shown > PROGRESS_INTERVAL_S:
                shown = now
                print(f"{played} runs in {now - begun:.0f} s", flush=True)
            if end is not None and now > end:
                break
    seconds = time.monotonic() - begun
    print(f"{played} runs in {seconds:.1f} s")


def list_seeds(options, corpus):
    """Generate the seeds to play, those with rare combinations first."""
    draw = GRAMMARS[options.grammar]
    first, _, last = options.seeds.partition("-")
    numbers = range(int(first), int(last or first) + 1)
    is_open = options.minutes is not None
    if is_open:
        numbers = itertools.count(int(first))
    fresh = (
        seed
        for seed in numbers
        if not corpus.has(options.grammar, seed)
        and count_gateways(draw(seed)) <= options.max_gateways
    )
    if not is_open:
        yield from fresh
        return
    while True:
        candidates = list(itertools.islice(fresh, CANDIDATES))
        yield min(
            candidates, key=lambda seed: corpus.measure_rarity(draw(seed))
        )


def count_gateways(scenario):
    return scenario.fronts + scenario.workers


def play_seed(grammar, seed):
    """Play a seed and return its record."""
    scenario = GRAMMARS[grammar](seed)
    outcome = play_scenario(scenario)
    return {
        "grammar": grammar,
        "seed": seed,
        "seconds": outcome.seconds,
        "combinations": list_combinations(scenario),
        "violations": [
            (violation.key, violation.text) for violation in outcome.violations
        ],
    }


def report(corpus, options):
    """Print the broken rules, cause by cause, and the coverage."""
    for key, cases in sorted(corpus.list_broken().items()):
        seeds = sorted({(grammar, seed) for grammar, seed, _ in cases})
        print(f"\n{key}: {len(seeds)} seeds, {seeds[:12]}")
        print(f"  {cases[0][2][:MAX_TEXT]}")
        if options.shrink:
            grammar, seed = seeds[0]
            print(
                shrink(GRAMMARS[grammar](seed), key, max_runs=SHRINKING_RUNS)
            )
    print("\nRuns by kind of fault:")
    for name, count in sorted(corpus.coverage.items()):
        if " + " not in name and " at " not in name:
            print(f"  {count:6} {name}")
    pairs = [name for name in corpus.coverage if " + " in name]
    print(f"  {len(pairs)} different pairs were played")


if __name__ == "__main__":
    main()
