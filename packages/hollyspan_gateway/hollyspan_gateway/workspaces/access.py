"""Identification of callers by their keys."""

from hollyspan_core.errors import AuthenticationError
from hollyspan_core.errors import BatchNotFoundError
from hollyspan_core.errors import ConfigurationMissingError
from hollyspan_core.errors import KeysUnconfirmedError
from hollyspan_core.errors import Outcome

__all__ = ["WorkspaceAccess"]

# Time to come back for a caller whose key may be in a configuration that is
# on its way here.
CATCH_UP_RETRY_AFTER_S = 0.5


class WorkspaceAccess:
    """Tells which workspace a request belongs to, by its key.

    Parameters
    ----------
    gateway : Gateway

    Notes
    -----
    Where the configuration has no workspaces, requests need no key and belong
    to none.
    """

    __slots__ = ("gateway",)

    def __init__(self, *, gateway):
        self.gateway = gateway

    @property
    def table(self):
        """Workspaces in force, None if the configuration has none."""
        routes = self.gateway.routes
        return None if routes is None else routes.workspaces

    def identify(self, head, route):
        """Return the workspace of a request and note it in the head.

        Parameters
        ----------
        head : RequestHead
        route : Route

        Returns
        -------
        Workspace or None
            None if the route is public or there are no workspaces.

        Raises
        ------
        AuthenticationError
            The key is missing or unknown.
        ConfigurationMissingError
            The newest configuration, which may hold the key, is not known.
        """
        if self.table is None:
            head.forwarded = [*head.forwarded, *head.credentials]
            return None
        if route.is_public:
            return None
        workspace = self.require(head.key_digest, outcome=Outcome.NOT_RUN)
        head.workspace = workspace.name
        return workspace

    def require(self, digest, *, outcome):
        """Return the workspace that holds a key, or raise an error.

        Parameters
        ----------
        digest : str or None
        outcome : Outcome
            Whether the request may have run.

        Returns
        -------
        Workspace

        Raises
        ------
        AuthenticationError
            The key is missing or unknown.
        ConfigurationMissingError
            The newest configuration, which may hold the key, is not known.
        KeysUnconfirmedError
            The key may have been withdrawn.
        """
        if digest is None:
            raise AuthenticationError(
                "the request contains no key", outcome=outcome
            )
        self.gateway.confirmation.require(outcome=outcome)
        workspace = self.table.find(digest)
        if workspace is not None:
            return workspace
        if not self.has_all_keys:
            raise ConfigurationMissingError(
                "the newest configuration is not known here",
                outcome=outcome,
                retry_after=CATCH_UP_RETRY_AFTER_S,
            )
        raise AuthenticationError("the key is unknown", outcome=outcome)

    @property
    def has_all_keys(self):
        """True if a key that is not known is in no configuration in force."""
        return (
            self.gateway.routes.has_all_workspaces
            and not self.gateway.has_unread_configuration
            and not self.gateway.confirmation.is_behind
        )

    def require_in_force(self, relay):
        """Raise an error if the key of a request has been withdrawn.

        Parameters
        ----------
        relay : Relay

        Raises
        ------
        AuthenticationError
        ConfigurationMissingError
        KeysUnconfirmedError
        """
        if relay.head.workspace is not None and self.table is not None:
            self.require(relay.head.key_digest, outcome=relay.outcome)

    def is_in_force(self, relay):
        """Return whether the key of a request is accepted for an attempt."""
        try:
            self.require_in_force(relay)
        except (
            AuthenticationError,
            ConfigurationMissingError,
            KeysUnconfirmedError,
        ):
            return False
        return True

    def drop_credentials(self, headers):
        """Return the headers of an item without those that are the gateway's.

        Parameters
        ----------
        headers : list of (str, str) or list of (bytes, bytes)

        Returns
        -------
        list
            Without a key or the name of a workspace, if there are workspaces.
        """
        if self.table is None:
            return headers
        is_credential = self.gateway.dialect.is_credential
        return [pair for pair in headers if not is_credential(pair[0])]

    def release_withdrawn(self):
        """Release held requests whose keys are no longer known."""
        waiting = self.gateway.held.waiting
        for relay in list(waiting):
            if (
                relay.head.workspace is not None
                and self.table is not None
                and self.table.find(relay.head.key_digest) is None
            ):
                waiting.pop(relay).callback(None)

    def identify_caller(self, digest):
        """Return the name of the workspace of a call about a job.

        Parameters
        ----------
        digest : str or None

        Returns
        -------
        str or None
            None without a key or without workspaces.

        Raises
        ------
        AuthenticationError
            The key is unknown.
        ConfigurationMissingError
        KeysUnconfirmedError
        """
        table = self.table
        if self.gateway.routes is None and digest is not None:
            raise ConfigurationMissingError(
                "no configuration has been received yet",
                outcome=Outcome.NOT_RUN,
            )
        if table is None or digest is None:
            return None
        return self.require(digest, outcome=Outcome.NOT_RUN).name

    def require_job_access(self, job, caller):
        """Raise an error unless a caller may see a job.

        Parameters
        ----------
        job : Job
        caller : str or None
            Name of the caller's workspace.

        Raises
        ------
        AuthenticationError
            The call contains no key.
        BatchNotFoundError
            The job belongs to another workspace.
        """
        if job.workspace is None or job.workspace == caller:
            return
        if caller is None:
            raise AuthenticationError("the call contains no key")
        raise BatchNotFoundError("no such job")
