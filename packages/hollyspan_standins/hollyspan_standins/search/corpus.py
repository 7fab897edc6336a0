"""Seeds that were played, and the combinations of faults in them."""

import collections
import itertools
import json

__all__ = ["Corpus", "list_combinations"]


class Corpus:
    """What earlier runs have shown, kept in a file.

    Parameters
    ----------
    path : Path or None
        One JSON document a line; None to keep nothing.

    Attributes
    ----------
    seeds : dict
        Record by grammar and seed.
    coverage : Counter
        Runs by combination of faults.
    """

    def __init__(self, *, path=None):
        self.path = path
        self.seeds = {}
        self.coverage = collections.Counter()
        if path is not None and path.exists():
            for line in path.read_text(encoding="utf-8").splitlines():
                self.note(json.loads(line))

    def note(self, record):
        """Note a run."""
        self.seeds[record["grammar"], record["seed"]] = record
        self.coverage.update(record["combinations"])

    def add(self, record):
        """Note a run and append it to the file."""
        self.note(record)
        if self.path is not None:
            with self.path.open("a", encoding="utf-8") as file:
                file.write(json.dumps(record) + "\n")

    def has(self, grammar, seed):
        return (grammar, seed) in self.seeds

    def measure_rarity(self, scenario):
        """Return how often its rarest combination was played."""
        return min(
            (self.coverage[each] for each in list_combinations(scenario)),
            default=0,
        )

    def list_broken(self):
        """Return the seeds that broke a rule.

        Returns
        -------
        dict
            List of (grammar, seed, text) by the violation's key.
        """
        broken = collections.defaultdict(list)
        for (grammar, seed), record in self.seeds.items():
            for key, text in record["violations"]:
                broken[key].append((grammar, seed, text))
        return broken


def list_combinations(scenario):
    """Return the kinds of faults of a scenario and their pairs.

    Parameters
    ----------
    scenario : Scenario

    Returns
    -------
    list of str
    """
    kinds = sorted(
        {fault.kind for fault in scenario.faults}
        | {"fatal part" for plan in scenario.jobs if plan.is_fatal}
    )
    anchors = sorted(
        {f"{fault.kind} at {fault.when.event}" for fault in scenario.faults}
    )
    pairs = itertools.combinations(kinds, 2)
    return [*kinds, *anchors, *(" + ".join(pair) for pair in pairs)]
