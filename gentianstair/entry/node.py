"""Hold the components that all requests of an entry process share."""

import typing

from gentianstair.config import view as views
from gentianstair.core import byte_account
from gentianstair.core import ejection
from gentianstair.core import grace_period
from gentianstair.core import path_keeper
from gentianstair.entry import admission
from gentianstair.entry import claims as claimses
from gentianstair.entry import explain
from gentianstair.entry import held_requests
from gentianstair.entry import limits
from gentianstair.entry import retry_policy
from gentianstair.entry import routing
from gentianstair.entry import upstream_permits
from gentianstair.entry import usage as usages
from gentianstair.generated import settings
from gentianstair.upstreams import transport
from gentianstair.util import clock as clocks


class Freshness(typing.Protocol):
    """Report whether the configuration in force is known to be current."""

    def is_fresh(self) -> bool:
        """Return whether requests may be served with it."""


class Node(typing.NamedTuple):
    """The components of one entry process."""

    settings: settings.EntrySettings
    clock: clocks.Clock
    view: views.View
    freshness: Freshness
    queue: admission.Queue
    router: routing.Router
    retries: retry_policy.RetryPolicy
    claims: claimses.Claims
    limits: limits.Limits
    usage: usages.UsageRecorder
    explanations: explain.Explanations
    transport: transport.Transport
    path_keeper: path_keeper.PathKeeper
    permits: upstream_permits.EntryPermits
    grace: grace_period.GracePeriod
    held_requests: held_requests.HeldRequests
    byte_account: byte_account.ByteAccount

    @property
    def ejector(self) -> ejection.Ejector:
        """Return the ejector of failing upstreams."""
        return self.retries.ejector
