"""Counts of the rates that this gateway keeps for the fleet."""

import eliot

from hollyspan_policy.workspace_rates import RateAnswer
from hollyspan_policy.workspace_rates import RateLedger

from .notice import RateNotice

__all__ = ["RateKeeping"]

# Delay of answers, in which several workspaces are answered together.
ANSWER_DELAY_S = 0.15
# The same for a workspace that exceeds its rate.
LIMITED_ANSWER_DELAY_S = 0.05
# Delay of a fraction that has fallen.
NEWS_DELAY_S = 0.01
# Interval at which the fractions of limited workspaces are decided anew.
REVIEW_INTERVAL_S = 0.25
# Factor by which a fraction falls before all daemons are told at once.
NEWS_FACTOR = 0.8
# Interval at which the daemons are told of a fraction that has changed.
REFRESH_INTERVAL_S = 1.0
# Time within the rate after which a workspace counts as back within it.
WITHIN_S = 2.0


class KeptRate:
    """One workspace's rate at its keeper."""

    __slots__ = (
        "key",
        "workspace",
        "ledger",
        "told",
        "told_at",
        "fraction",
        "over_at",
        "is_over",
    )

    def __init__(self, *, key, workspace, ledger):
        self.key = key
        self.workspace = workspace
        self.ledger = ledger
        # What all daemons have last been told, and when.
        self.told = 1.0
        self.told_at = 0.0
        self.fraction = 1.0
        self.over_at = 0.0
        self.is_over = False


class RateKeeping:
    """Counts requests of workspaces and tells the fraction to admit.

    Parameters
    ----------
    rates : WorkspaceRates

    Attributes
    ----------
    kept : dict
        KeptRate by hash of the workspace's name.
    """

    __slots__ = ("rates", "kept", "unanswered", "news", "call")

    def __init__(self, *, rates):
        self.rates = rates
        self.kept = {}
        # Keys of workspaces to answer, by identifier of the gateway.
        self.unanswered = {}
        # Workspaces of which all their daemons are told.
        self.news = set()
        self.call = None

    @property
    def reactor(self):
        return self.rates.gateway.reactor

    def count_limited(self):
        """Return the number of kept workspaces that exceed their rate."""
        return sum(each.is_over for each in self.kept.values())

    def note_use(self, identifier, workspace, notice, *, incarnation):
        """Count the use of a workspace at a gateway and answer soon."""
        key = notice.workspace
        now = self.reactor.seconds()
        delay = ANSWER_DELAY_S
        if workspace is None or not workspace.rate:
            self.kept.pop(key, None)
        else:
            kept = self.find(key, workspace, now=now)
            kept.ledger.note_use(
                identifier, notice.use, incarnation=incarnation, now=now
            )
            self.decide(kept, now=now)
            if kept.fraction < 1.0:
                delay = LIMITED_ANSWER_DELAY_S
        self.unanswered.setdefault(identifier, set()).add(key)
        self.schedule(NEWS_DELAY_S if self.news else delay)

    def forget_others(self, workspaces):
        """Forget the workspaces that are not among some keys."""
        for key in self.kept.keys() - workspaces.keys():
            del self.kept[key]

    def find(self, key, workspace, *, now):
        """Return the count of a workspace, with its limit of now."""
        capacity = self.rates.measure_capacity(workspace)
        kept = self.kept.get(key)
        if kept is None:
            kept = self.kept[key] = KeptRate(
                key=key,
                workspace=workspace,
                ledger=RateLedger(
                    rate=workspace.rate,
                    capacity=capacity,
                    now=now,
                    live_part=self.rates.members.measure_live_part(),
                    known_seconds=self.rates.measure_known_seconds(),
                ),
            )
        kept.workspace = workspace
        kept.ledger.set_limit(rate=workspace.rate, capacity=capacity, now=now)
        return kept

    def decide(self, kept, *, now):
        """Choose the fraction to admit and note whether it is news."""
        fraction = kept.fraction = kept.ledger.choose_fraction(
            live_part=self.rates.members.measure_live_part(), now=now
        )
        if fraction < 1.0:
            kept.over_at = now
            if not kept.is_over:
                kept.is_over = True
                self.log(kept, "workspace:over_rate")
        elif kept.is_over and now - kept.over_at > WITHIN_S:
            kept.is_over = False
            kept.ledger.forget_daemons(now=now)
            self.log(kept, "workspace:within_rate")
        has_fallen = fraction < kept.told * NEWS_FACTOR
        is_free = kept.told < 1.0 <= fraction
        has_changed = (
            abs(fraction - kept.told) > (1.0 - NEWS_FACTOR) * kept.told
            and now - kept.told_at >= REFRESH_INTERVAL_S
        )
        if has_fallen or is_free or has_changed:
            self.news.add(kept.key)

    def log(self, kept, message):
        eliot.log_message(
            message,
            workspace=kept.workspace.name,
            rate=kept.workspace.rate,
            fraction=round(kept.fraction, 4),
            tokens=round(kept.ledger.tokens, 1),
            gateways=len(kept.ledger.daemons),
        )

    def schedule(self, delay):
        """Send answers after a delay at most."""
        if self.call is None:
            self.call = self.reactor.callLater(delay, self.answer)
        elif self.reactor.seconds() + delay < self.call.getTime():
            self.call.reset(delay)

    def answer(self):
        """Answer the gateways that wait, and tell all of what is news."""
        self.call = None
        now = self.reactor.seconds()
        for kept in self.kept.values():
            if kept.is_over:
                self.decide(kept, now=now)
        unanswered, self.unanswered = self.unanswered, {}
        news, self.news = self.news, set()
        for identifier, keys in unanswered.items():
            self.rates.send(
                identifier,
                [
                    RateNotice(
                        workspace=key,
                        answer=self.build_answer(key, identifier),
                    )
                    for key in keys
                ],
            )
        for key in news:
            kept = self.kept.get(key)
            if kept is not None:
                self.tell_all(kept, now=now)
        if any(each.is_over for each in self.kept.values()):
            self.schedule(REVIEW_INTERVAL_S)

    def build_answer(self, key, identifier):
        kept = self.kept.get(key)
        if kept is None:
            return RateAnswer(fraction=1.0)
        return RateAnswer(
            fraction=kept.fraction,
            share=kept.ledger.measure_share(
                identifier, now=self.reactor.seconds()
            ),
        )

    def tell_all(self, kept, *, now):
        """Tell all gateways of a workspace's fraction.

        Notes
        -----
        Load pattern: a flood of a small workspace through hundreds of
        gateways. Each of them would admit its first request, before a keeper
        answers it.
        """
        kept.told, kept.told_at = kept.fraction, now
        kept.ledger.forget_daemons(now=now)
        self.rates.send_all(
            [
                RateNotice(
                    workspace=kept.key,
                    answer=RateAnswer(fraction=kept.fraction),
                )
            ]
        )
