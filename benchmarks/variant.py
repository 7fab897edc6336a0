"""Policy variants to compare."""

__all__ = ["Variant", "list_curve", "list_variants"]

HARM_WEIGHT = 0.5
CURVE_WEIGHTS = (0.0, 0.25, 0.75, 1.0)


class Variant:
    """Set of policies.

    Parameters
    ----------
    name : str
    batch : str, optional
        Batch policy.
    routing : str, optional
        Routing policy.
    is_isolated : bool, optional
        Whether the links between daemons of a data centre are cut.
    harm_weight : float, optional
    """

    __slots__ = ("name", "batch", "routing", "is_isolated", "harm_weight")

    def __init__(
        self,
        *,
        name,
        batch="yielding",
        routing="affinity",
        is_isolated=False,
        harm_weight=HARM_WEIGHT,
    ):
        self.name = name
        self.batch = batch
        self.routing = routing
        self.is_isolated = is_isolated
        self.harm_weight = harm_weight


def list_variants():
    """List the default policies and their baselines.

    Returns
    -------
    list of Variant
        The first is the one without batch work.
    """
    return [
        Variant(name="none", batch="none"),
        Variant(name="as_online", batch="as_online"),
        Variant(name="fixed_cap", batch="fixed_cap"),
        Variant(name="yielding"),
        Variant(name="least_load", routing="least_load"),
        Variant(name="alone", is_isolated=True),
    ]


def list_curve():
    """List the default policy with several harm weights.

    Returns
    -------
    list of Variant
    """
    return [
        Variant(name=f"weight_{weight:g}", harm_weight=weight)
        for weight in CURVE_WEIGHTS
    ]
