"""Connects the decisions about quotas with datagrams, requests and peers."""

import asyncio
import contextlib
import datetime as dt
import functools
from collections.abc import Callable, Iterable
from random import Random
from typing import Final

from bluebellslip._internal.accounts.quotas.account_demand import (
    Permit,
    Refusal,
    Waiter,
)
from bluebellslip._internal.accounts.quotas.limits import (
    LimitTolerance,
    QuotaLimits,
    QuotaTimes,
)
from bluebellslip._internal.accounts.quotas.live_nodes import LiveNodes
from bluebellslip._internal.accounts.quotas.messages import (
    QuotaReport,
    decode_message,
    encode_message,
)
from bluebellslip._internal.accounts.quotas.quota_node import (
    Outgoing,
    QuotaNode,
)
from bluebellslip._internal.exceptions import (
    PeerGarbledError,
    RateLimitedError,
)
from bluebellslip._internal.kernel.clock import SuspendAwareClock
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.models.identity import (
    AccountName,
    Address,
    NodeId,
)
from bluebellslip._internal.models.mesh import AccountRule
from bluebellslip._internal.models.mesh_settings import Bounds

# Time between rounds of sending, with and without an answer awaited.
_INTERVAL_WAITING: Final = 0.01
_INTERVAL: Final = 0.1
_EXPIRE_INTERVAL: Final = 1.0
_Decided = asyncio.Future[Permit | Refusal]


class QuotaService:
    """Limits the requests of accounts over all nodes of the deployment.

    While the configuration limits no account, nothing is sent, and requests
    cost nothing.

    Parameters
    ----------
    clock
        The node's clock.
    node
        The node's name.
    nodes
        The nodes that share the quotas.
    send
        Sends a datagram to the beacon address of a node.
    bounds
        Bounds of the deployment.
    random_source
        Randomizes intervals and Retry-After.
    counters
        Counts requests, datagrams and permissions.
    """

    def __init__(
        self,
        clock: SuspendAwareClock,
        node: NodeId,
        nodes: LiveNodes,
        send: Callable[[Address, bytes], None],
        bounds: Bounds,
        random_source: Random,
        counters: Counters,
    ) -> None:
        self._clock = clock
        self._nodes = nodes
        self._send = send
        self._times = QuotaTimes.from_bounds(bounds)
        self._tolerance = LimitTolerance.from_bounds(bounds)
        self._counters = counters
        self._node = QuotaNode(
            node, nodes, self._times, random_source, self._read_time()
        )
        self._is_needed = asyncio.Event()
        self._has_work = asyncio.Event()
        self._expire_at: float = 0

    @property
    def nodes(self) -> LiveNodes:
        """The nodes that share the quotas."""
        return self._nodes

    @property
    def pledge_count(self) -> int:
        """Number of nodes that have pledged their shares to this one."""
        return self._node.owner.pledge_count

    @property
    def active_count(self) -> int:
        """Number of accounts with a limit that were active here lately."""
        return self._node.requester.active_count

    def apply(self, revision: int, accounts: Iterable[AccountRule]) -> None:
        """Apply the accounts of a configuration that is now in force."""
        limits = QuotaLimits.from_accounts(revision, accounts, self._tolerance)
        self._node.apply(limits, self._times, self._read_time())
        if limits.by_name:
            self._is_needed.set()
        else:
            self._is_needed.clear()

    async def admit(self, account: AccountName) -> Permit | None:
        """Return permission for a request of an account.

        A request that may not be sent yet waits for a few tens of milliseconds
        at most.

        Returns
        -------
        Permit | None
            Permission, to be given back if the request doesn't run; none for
            an account without a limit.

        Raises
        ------
        RateLimitedError
            When the account is over its limit.
        """
        limit = self._node.limits.by_name.get(account)
        if limit is None:
            return None
        decided: _Decided = asyncio.get_running_loop().create_future()
        decision = self._node.admit(
            limit,
            self._read_time(),
            functools.partial(self._decide, decided),
        )
        if isinstance(decision, Waiter):
            return self._finish(account, await self._wait(decision, decided))
        return self._finish(account, decision)

    def give_back(self, permit: Permit | None) -> None:
        """Return the permission of a request that ended as not run."""
        if permit is not None:
            self._node.requester.give_back(permit, self._read_time())
            self._counters.add('quota_returns')

    def receive(self, datagram: bytes) -> None:
        """Process a datagram of another node."""
        try:
            message = decode_message(datagram)
        except PeerGarbledError:
            self._counters.add('quota_datagrams_refused')
            return
        if isinstance(message, QuotaReport):
            if self._nodes.find_address(message.node) is None:
                self._counters.add('quota_datagrams_refused')
                return
            self._counters.add('quota_reports')
        earlier = self._node.owner.granted
        answer = self._node.receive(message, self._read_time())
        granted = self._node.owner.granted - earlier
        if granted:
            self._counters.add('quota_granted', granted)
        if answer is not None:
            self._transmit(answer)
        elif self._node.requester.is_waiting:
            self._has_work.set()

    async def run(self) -> None:
        """Report to the owners of quotas until cancelled."""
        while True:
            if not self._node.requester.has_waiters:
                await self._is_needed.wait()
            self.step()
            interval = (
                _INTERVAL_WAITING
                if self._node.requester.is_waiting
                else _INTERVAL
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(interval):
                    await self._has_work.wait()

    def step(self) -> None:
        """Send what is due now."""
        now = self._read_time()
        self._has_work.clear()
        for outgoing in self._node.collect(now):
            self._transmit(outgoing)
        if now >= self._expire_at:
            self._expire_at = now + _EXPIRE_INTERVAL
            self._node.expire(now)

    def _decide(self, decided: _Decided, decision: Permit | Refusal) -> None:
        if not decided.done():
            decided.set_result(decision)
        elif isinstance(decision, Permit):
            self.give_back(decision)

    async def _wait(
        self, waiter: Waiter, decided: _Decided
    ) -> Permit | Refusal:
        self._has_work.set()
        self._counters.add('quota_waits')
        try:
            return await decided
        except asyncio.CancelledError:
            waiter.is_cancelled = True
            if not decided.cancelled():
                decision = decided.result()
                if isinstance(decision, Permit):
                    self.give_back(decision)
            raise

    def _read_time(self) -> float:
        return self._clock.since_boot().total_seconds()

    def _transmit(self, outgoing: Outgoing) -> None:
        address = self._nodes.find_address(outgoing.node)
        if address is not None:
            self._send(address, encode_message(outgoing.message))

    def _finish(
        self, account: AccountName, decision: Permit | Refusal
    ) -> Permit:
        outcome = 'refused' if isinstance(decision, Refusal) else 'admitted'
        self._counters.add('quota_requests', account=account, outcome=outcome)
        if isinstance(decision, Refusal):
            raise RateLimitedError(
                'The account is over its limit.',
                context={'account': account},
                retry_after=dt.timedelta(seconds=decision.retry_after),
            )
        return decision
