"""The decisions of one node about quotas: as a requester and as an owner."""

import dataclasses
from collections.abc import Callable, Iterator
from random import Random
from typing import Final

from bluebellslip._internal.accounts.quotas.account_demand import (
    Permit,
    Refusal,
    Waiter,
)
from bluebellslip._internal.accounts.quotas.deployment import Deployment
from bluebellslip._internal.accounts.quotas.limits import (
    NO_LIMITS,
    AccountLimit,
    QuotaLimits,
    QuotaTimes,
)
from bluebellslip._internal.accounts.quotas.messages import (
    QuotaMessage,
    QuotaReport,
)
from bluebellslip._internal.accounts.quotas.quota_owner import QuotaOwner
from bluebellslip._internal.accounts.quotas.quota_requester import (
    QuotaRequester,
)

_LIFE_BITS: Final = 48


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to another node."""

    node: str
    message: QuotaMessage


class QuotaNode:
    """Decides on requests, and exchanges messages with other nodes.

    Designed for deployments of one to some thousands of nodes. All times are
    seconds on the node's own steady clock.

    Parameters
    ----------
    node
        The node's name.
    deployment
        The nodes that share the quotas.
    times
        Bounds on permissions.
    random_source
        Identifies the run of the process, and randomizes intervals.
    now
        Time at the start of the process.
    """

    def __init__(
        self,
        node: str,
        deployment: Deployment,
        times: QuotaTimes,
        random_source: Random,
        now: float,
    ) -> None:
        self._node = node
        self._times = times
        self.limits = NO_LIMITS
        life = random_source.getrandbits(_LIFE_BITS) or 1
        self.owner = QuotaOwner(node, life, times)
        self.requester = QuotaRequester(
            node, life, deployment, times, random_source, now
        )

    def apply(self, limits: QuotaLimits, times: QuotaTimes, now: float) -> None:
        """Apply limits and bounds that are in force from now on."""
        self.limits = limits
        self.requester.apply(limits, times, now)
        self.owner.apply(limits, times, now)

    def admit(
        self,
        limit: AccountLimit,
        now: float,
        decide: Callable[[Permit | Refusal], None],
    ) -> Permit | Refusal | Waiter:
        """Decide on a request; see ``QuotaRequester.admit``."""
        return self.requester.admit(limit, now, decide)

    def collect(self, now: float) -> Iterator[Outgoing]:
        """Return the messages to send now."""
        for target, report in tuple(self.requester.collect(now)):
            if target == self._node:
                self._answer_self(report, now)
            else:
                yield Outgoing(target, report)

    def receive(self, message: QuotaMessage, now: float) -> Outgoing | None:
        """Apply a message of another node, and return the answer, if any."""
        if isinstance(message, QuotaReport):
            grant = self.owner.answer(message, now)
            return None if grant is None else Outgoing(message.node, grant)
        self.requester.apply_grant(message, now)
        return None

    def expire(self, now: float) -> None:
        """Forget what is not in use."""
        self.owner.expire(now)
        self.requester.expire(now)

    def _answer_self(self, report: QuotaReport, now: float) -> None:
        grant = self.owner.answer(report, now)
        if grant is not None:
            self.requester.apply_grant(grant, now)
