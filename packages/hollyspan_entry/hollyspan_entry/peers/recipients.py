"""To whom heartbeats go."""

from hollyspan_policy.membership import choose_partners

from ..instances import Seed

__all__ = ["list_near", "list_partners"]


def list_near(runtime, *, now):
    """List the other daemons of the own data centre.

    Parameters
    ----------
    runtime : Runtime
    now : float
        Monotonic seconds.

    Returns
    -------
    list of Seed

    Notes
    -----
    Daemons in the instance list are spoken to whether they are heard or not;
    others as long as they are heard.
    """
    settings = runtime.settings
    found = {
        member.instance: build_seed(member)
        for member in runtime.members.list_live(
            now=now, data_centre=settings.data_centre, leaving=True
        )
    }
    found.update(
        (seed.instance, seed)
        for seed in runtime.seeds.values()
        if seed.data_centre == settings.data_centre
    )
    found.pop(settings.instance, None)
    return list(found.values())


def list_partners(runtime, *, receipts, probes, now):
    """List the daemons of other data centres to speak with.

    Parameters
    ----------
    runtime : Runtime
    receipts : Receipts
    probes : Probes
    now : float
        Monotonic seconds.

    Returns
    -------
    list of Seed
    """
    settings = runtime.settings
    known = list_far(runtime, now=now)
    others = {}
    for seed in known.values():
        others.setdefault(seed.data_centre, []).append(seed.instance)
    own = runtime.members.list_live(now=now, data_centre=settings.data_centre)
    chosen = choose_partners(
        instance=settings.instance,
        data_centre=settings.data_centre,
        local_instances=[member.instance for member in own],
        others={
            data_centre: probes.select(names, now=now)
            for data_centre, names in others.items()
        },
    )
    names = dict.fromkeys([*chosen, *receipts.list_partners(now=now)])
    return [known[name] for name in names if name in known]


def list_far(runtime, *, now):
    own = runtime.settings.data_centre
    members = runtime.members.list_live(now=now, leaving=True)
    found = {
        member.instance: build_seed(member)
        for member in members
        if member.data_centre != own
    }
    found.update(
        (seed.instance, seed)
        for seed in runtime.seeds.values()
        if seed.data_centre != own
    )
    return found


def build_seed(member):
    return Seed(
        instance=member.instance,
        data_centre=member.data_centre,
        address=member.address,
        peer_port=member.peer_port,
    )
