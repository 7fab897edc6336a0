"""Policies that are compared in one run."""

__all__ = ["Variant", "list_curve", "list_variants"]

HARM_WEIGHT = 0.5
CURVE_WEIGHTS = (0.0, 0.25, 0.75, 1.0)


class Variant:
    """One set of policies.

    Parameters
    ----------
    name : str
    batch : str, optional
        Batch policy.
    routing : str, optional
        Routing policy.
    alone : bool, optional
        Whether the daemons of a data centre do not hear each other.
    harm_weight : float, optional
    """

    __slots__ = ("name", "batch", "routing", "alone", "harm_weight")

    def __init__(
        self,
        *,
        name,
        batch="yielding",
        routing="affinity",
        alone=False,
        harm_weight=HARM_WEIGHT,
    ):
        self.name = name
        self.batch = batch
        self.routing = routing
        self.alone = alone
        self.harm_weight = harm_weight


def list_variants():
    """List the chosen policies and their baselines.

    Returns
    -------
    list of Variant
        The one without batch work first.
    """
    return [
        Variant(name="none", batch="none"),
        Variant(name="as_online", batch="as_online"),
        Variant(name="fixed_cap", batch="fixed_cap"),
        Variant(name="yielding"),
        Variant(name="least_load", routing="least_load"),
        Variant(name="alone", alone=True),
    ]


def list_curve():
    """List the chosen policy between the ends of its weight.

    Returns
    -------
    list of Variant
    """
    return [
        Variant(name=f"weight_{weight:g}", harm_weight=weight)
        for weight in CURVE_WEIGHTS
    ]
