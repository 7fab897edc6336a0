"""Rates of workspaces: admission of requests and messages about it."""

import contextlib

import eliot

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import RateLimitError
from hollyspan_policy.hashing import hash_parts
from hollyspan_policy.hashing import hash_to_fraction
from hollyspan_policy.workspace_rates import choose_limited_delay
from hollyspan_policy.workspace_rates import choose_step
from hollyspan_policy.workspace_rates import estimate_return
from hollyspan_policy.workspace_rates import RateGate

from .keeping import RateKeeping
from .members import RateMembers
from .notice import RateNotice

__all__ = ["WorkspaceRates"]

# Delay in which the requests of several callers are told together.
REPORT_DELAY_S = 0.025
# The same for the second keeper, while the first one answers.
SECOND_REPORT_DELAY_S = 0.25
# Interval of messages from a gateway with much demand or without an answer.
REMINDER_INTERVAL_S = 0.25
# Requests a second from which on the use is told all the time.
ACTIVE_DEMAND = 1.5
# Requests a second below which a keeper without an answer is not asked again.
IDLE_DEMAND = 0.05


class Report:
    """Message to a keeper that is planned.

    Parameters
    ----------
    at : float
    is_reminder : bool
        Whether it is needed only if the last one has no answer or the demand
        was high.
    was_active : bool
        Whether the demand was high, whose end the keeper has to know.
    """

    __slots__ = ("at", "is_reminder", "was_active")

    def __init__(self, *, at, is_reminder, was_active):
        self.at = at
        self.is_reminder = is_reminder
        self.was_active = was_active


class WorkspaceRates:
    """Admits the requests of workspaces that have a rate.

    Parameters
    ----------
    gateway : Gateway

    Attributes
    ----------
    gates : dict
        RateGate by name of the workspace.
    keeping : RateKeeping
        Counts of the workspaces that this gateway keeps.
    """

    __slots__ = (
        "gateway",
        "gates",
        "keeping",
        "members",
        "table",
        "by_key",
        "due",
        "call",
    )

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.gates = {}
        self.members = RateMembers(peers=gateway.peers)
        self.keeping = RateKeeping(rates=self)
        self.table = None
        self.by_key = {}
        # Time at which the use of a workspace is told, by its name, by keeper.
        self.due = {}
        self.call = None

    @property
    def now(self):
        return self.gateway.reactor.seconds()

    @contextlib.contextmanager
    def track(self, relay):
        """Admit a request and count its runs.

        Parameters
        ----------
        relay : Relay
            A forwarded one was admitted by the gateway that sent it, which
            has counted its first run.

        Raises
        ------
        RateLimitError
            The request is beyond the rate of its workspace.
        """
        workspace = relay.workspace
        if workspace is None or not workspace.rate:
            yield
            return
        gate = self.find_gate(workspace)
        if not relay.is_forwarded:
            self.admit(gate, workspace, relay.head.identifier)
        try:
            yield
        finally:
            runs = relay.sends - 1
            if relay.is_forwarded:
                runs = max(0, runs)
            if runs:
                told = gate.count_told()
                gate.spend(runs, now=self.now)
                if gate.count_told() != told:
                    self.schedule(workspace.name, gate)

    def admit(self, gate, workspace, identifier):
        """Count a request, or raise an error if it is beyond the rate."""
        now = self.now
        members = self.members.count()
        was_kept, told = gate.is_kept, gate.count_told()
        is_admitted = gate.admit(members=members, now=now)
        if gate.is_kept != was_kept:
            eliot.log_message(
                "workspace:rate_keepers",
                workspace=workspace.name,
                is_heard=gate.is_kept,
                part=round(gate.find_part(members), 4),
                members=members,
            )
        if not is_admitted or gate.count_told() != told:
            self.schedule(workspace.name, gate)
        if not is_admitted:
            raise RateLimitError(
                "the workspace exceeds its rate",
                outcome=Outcome.NOT_RUN,
                retry_after=estimate_return(
                    fraction=gate.measure_passing_part(
                        members=members, now=now
                    ),
                    key=identifier,
                ),
            )

    def find_gate(self, workspace):
        """Return the gate of a workspace, with its keepers of now."""
        capacity = self.measure_capacity(workspace)
        gate = self.gates.get(workspace.name)
        if gate is None:
            gate = RateGate(
                rate=workspace.rate,
                capacity=capacity,
                phase=hash_to_fraction(
                    workspace.name, self.gateway.peers.identifier
                ),
                now=self.now,
            )
            self.gates[workspace.name] = gate
        gate.set_limit(rate=workspace.rate, capacity=capacity)
        gate.set_keepers(self.members.choose_keepers(workspace.name))
        gate.step = choose_step(
            margin=self.gateway.settings.rate_tolerance.measure_margin(
                rate=workspace.rate, burst=workspace.burst
            ),
            daemons=self.members.count(),
        )
        return gate

    def update_table(self):
        """Forget the workspaces that are not in the configuration any more."""
        table = self.gateway.workspaces.table
        if table is self.table:
            return
        self.table = table
        workspaces = {} if table is None else table.by_name
        self.by_key = {
            hash_parts(name): each for name, each in workspaces.items()
        }
        for name in self.gates.keys() - workspaces.keys():
            del self.gates[name]
        self.keeping.forget_others(self.by_key)

    def measure_known_seconds(self):
        """Return for how long one of the live gateways has been there.

        Returns
        -------
        float
            Seconds, infinity if the fleet has started for the first time.
        """
        now = self.gateway.reactor.seconds()
        return max(
            self.gateway.stream_versions.measure_memory(),
            *(
                peer.measure_memory(now)
                for peer in self.gateway.peers.list_live()
            ),
            0.0,
        )

    def measure_capacity(self, workspace):
        """Return the capacity of a workspace's token bucket."""
        return self.gateway.settings.rate_tolerance.measure_capacity(
            rate=workspace.rate, burst=workspace.burst
        )

    def schedule(self, name, gate):
        """Tell the keepers soon of a workspace's use."""
        now = self.now
        delay = REPORT_DELAY_S
        if gate.find_fraction(now=now) < 1.0:
            delay = choose_limited_delay(self.members.count())
        for keeper in gate.keepers:
            self.plan(keeper, name, now + delay)
            if gate.is_heard_in_time(keeper, now=now):
                delay = SECOND_REPORT_DELAY_S

    def plan(self, keeper, name, at, *, is_reminder=False, was_active=False):
        """Tell one keeper of a workspace's use at a time at the latest."""
        due = self.due.setdefault(keeper, {})
        planned = due.get(name)
        if planned is not None:
            is_reminder = is_reminder and planned.is_reminder
            was_active = was_active or planned.was_active
            at = min(at, planned.at)
        due[name] = Report(
            at=at, is_reminder=is_reminder, was_active=was_active
        )
        delay = max(0.0, at - self.now)
        if self.call is None:
            self.call = self.gateway.reactor.callLater(delay, self.report)
        elif at < self.call.getTime():
            self.call.reset(delay)

    def report(self):
        """Tell the keepers of what is due."""
        self.call = None
        now = self.now
        planned, self.due = self.due, {}
        for keeper, due in planned.items():
            if all(
                report.at > now or not self.is_needed(keeper, name, report)
                for name, report in due.items()
            ):
                for name, report in due.items():
                    if report.at > now:
                        self.plan(
                            keeper,
                            name,
                            report.at,
                            is_reminder=report.is_reminder,
                            was_active=report.was_active,
                        )
                continue
            # What is due a little later goes with the same message.
            notices = [
                self.build_notice(keeper, name)
                for name, report in due.items()
                if self.is_needed(keeper, name, report)
            ]
            self.send(keeper, notices)

    def is_needed(self, keeper, name, report):
        """Return whether a keeper still has to be told of a use."""
        gate = self.gates.get(name)
        if gate is None:
            return False
        if not report.is_reminder:
            return True
        demand = gate.demand.measure(now=self.now)
        if gate.is_heard(keeper):
            return report.was_active
        return demand > IDLE_DEMAND

    def build_notice(self, keeper, name):
        """Return the use of a workspace and plan a reminder of it."""
        now = self.now
        gate = self.gates[name]
        gate.note_told(keeper, now=now)
        use = gate.build_use(now=now)
        is_active = use.demand >= ACTIVE_DEMAND
        interval = REMINDER_INTERVAL_S
        if is_active:
            interval = max(
                interval, choose_limited_delay(self.members.count())
            )
        if keeper in gate.keepers:
            self.plan(
                keeper,
                name,
                now + interval,
                is_reminder=True,
                was_active=is_active,
            )
        return RateNotice(workspace=hash_parts(name), use=use)

    def send(self, identifier, notices):
        """Send notices to one gateway, or apply them here."""
        peers = self.gateway.peers
        if identifier == peers.identifier:
            self.apply_notices(
                identifier, notices, incarnation=peers.incarnation
            )
            return
        peer = self.members.find_peer(identifier)
        if peer is not None:
            peers.send_change([peer], rate_notices=notices)

    def send_all(self, notices):
        """Send the same notices to all live gateways."""
        peers = self.gateway.peers
        self.send(peers.identifier, notices)
        live = peers.list_live()
        if live:
            peers.send_change(live, rate_notices=notices)

    def apply(self, peer, message):
        """Apply what a peer tells of rates."""
        if message.rate_notices:
            self.apply_notices(
                peer.identifier,
                message.rate_notices,
                incarnation=message.incarnation,
            )

    def apply_notices(self, identifier, notices, *, incarnation):
        self.update_table()
        if self.table is None:
            return
        for notice in notices:
            workspace = self.by_key.get(notice.workspace)
            if notice.use is not None:
                self.keeping.note_use(
                    identifier, workspace, notice, incarnation=incarnation
                )
            elif workspace is not None and workspace.rate:
                self.find_gate(workspace).note_answer(
                    identifier, notice.answer, now=self.now
                )
