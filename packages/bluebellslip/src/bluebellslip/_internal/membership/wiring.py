"""Membership's state machines, connected to the link between nodes."""

import functools
from collections.abc import Callable
from typing import Any

from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.kernel.ports import PeerLink
from bluebellslip._internal.membership.core import MembershipCore
from bluebellslip._internal.membership.messages import (
    Ack,
    Gossip,
    Ping,
    PingRequest,
    SyncExchange,
    SyncFacts,
    SyncRequest,
    SyncSummary,
)
from bluebellslip._internal.models.identity import Address


def flush_core(core: MembershipCore, link: PeerLink) -> None:
    """Send what the state machines want sent."""
    core.flush()
    core.outbox.send_all(link)


def watch_core(core: MembershipCore, counters: Counters) -> None:
    """Report sizes of what the state machines keep."""
    counters.gauge('members_live', lambda: core.roster.live_count)
    counters.gauge('members_known', lambda: len(core.roster))
    counters.gauge('regions_cut', lambda: len(core.cut_regions()))
    counters.gauge('facts_waiting', lambda: len(core.queue))


def connect_core(core: MembershipCore, link: PeerLink) -> None:
    """Hand the link's messages to the state machines."""
    detector = core.detector
    receive = functools.partial(_receive, core, link)
    receive(Ping, detector.on_ping)
    receive(Ack, detector.on_ack)
    receive(PingRequest, detector.on_ping_request)
    receive(Gossip, detector.on_gossip)
    link.on_request(SyncRequest, functools.partial(_answer, core))
    link.on_request(
        SyncExchange, functools.partial(_answer_exchange, core, link)
    )


def _receive(
    core: MembershipCore,
    link: PeerLink,
    kind: type[Any],
    handler: Callable[[Any, Address], None],
) -> None:
    link.on_datagram(kind, functools.partial(_handle, core, link, handler))


def _handle(
    core: MembershipCore,
    link: PeerLink,
    handler: Callable[[Any, Address], None],
    message: Any,
    sender: Address,
) -> None:
    handler(message, sender)
    flush_core(core, link)


async def _answer(core: MembershipCore, request: SyncRequest) -> SyncSummary:
    return core.sync.answer(request)


async def _answer_exchange(
    core: MembershipCore, link: PeerLink, request: SyncExchange
) -> SyncFacts:
    answer = core.sync.answer_exchange(request)
    flush_core(core, link)
    return answer
