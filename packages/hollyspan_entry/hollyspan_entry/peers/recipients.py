"""Recipients of heartbeats and notices."""

from hollyspan_policy.membership import choose_partners

from ..instances import Seed

__all__ = ["list_local_daemons", "list_partners"]


def list_local_daemons(runtime, *, now):
    """List the other daemons of this daemon's data centre.

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
    Daemons in the instance list are included whether they are live or not;
    other daemons only while they are live.
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


def list_partners(runtime, *, receiver, probes, now):
    """List the daemons of other data centres to send heartbeats to.

    Parameters
    ----------
    runtime : Runtime
    receiver : MessageReceiver
    probes : Probes
    now : float
        Monotonic seconds.

    Returns
    -------
    list of Seed
    """
    settings = runtime.settings
    known = list_remote_daemons(runtime, now=now)
    others = {}
    for seed in known.values():
        others.setdefault(seed.data_centre, []).append(seed.instance)
    local_members = runtime.members.list_live(
        now=now, data_centre=settings.data_centre
    )
    chosen = choose_partners(
        instance=settings.instance,
        data_centre=settings.data_centre,
        local_instances=[member.instance for member in local_members],
        others={
            data_centre: probes.select(names, now=now)
            for data_centre, names in others.items()
        },
    )
    names = dict.fromkeys([*chosen, *receiver.list_partners(now=now)])
    return [known[name] for name in names if name in known]


def list_remote_daemons(runtime, *, now):
    data_centre = runtime.settings.data_centre
    members = runtime.members.list_live(now=now, leaving=True)
    found = {
        member.instance: build_seed(member)
        for member in members
        if member.data_centre != data_centre
    }
    found.update(
        (seed.instance, seed)
        for seed in runtime.seeds.values()
        if seed.data_centre != data_centre
    )
    return found


def build_seed(member):
    return Seed(
        instance=member.instance,
        data_centre=member.data_centre,
        address=member.address,
        peer_port=member.peer_port,
    )
