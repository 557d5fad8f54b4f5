"""Connection of membership's state machines to the transport."""

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


def flush_messages(core: MembershipCore, link: PeerLink) -> None:
    """Send the messages that the state machines have queued."""
    core.flush()
    core.outbox.send_all(link)


def register_gauges(core: MembershipCore, counters: Counters) -> None:
    """Register gauges of members, partitioned regions and queued facts."""
    counters.gauge('members_live', lambda: core.member_table.live_count)
    counters.gauge('members_known', lambda: len(core.member_table))
    counters.gauge('regions_cut', lambda: len(core.partitioned_regions()))
    counters.gauge('facts_waiting', lambda: len(core.gossip_queue))


def connect_core(core: MembershipCore, link: PeerLink) -> None:
    """Register the state machines as handlers of the link's messages."""
    failure_detector = core.failure_detector
    register = functools.partial(_register_datagram_handler, core, link)
    register(Ping, failure_detector.on_ping)
    register(Ack, failure_detector.on_ack)
    register(PingRequest, failure_detector.on_ping_request)
    register(Gossip, failure_detector.on_gossip)
    link.on_request(SyncRequest, functools.partial(_handle_request, core))
    link.on_request(
        SyncExchange, functools.partial(_handle_exchange, core, link)
    )


def _register_datagram_handler(
    core: MembershipCore,
    link: PeerLink,
    kind: type[Any],
    handler: Callable[[Any, Address], None],
) -> None:
    link.on_datagram(kind, functools.partial(_dispatch, core, link, handler))


def _dispatch(
    core: MembershipCore,
    link: PeerLink,
    handler: Callable[[Any, Address], None],
    message: Any,
    sender: Address,
) -> None:
    handler(message, sender)
    flush_messages(core, link)


async def _handle_request(
    core: MembershipCore, request: SyncRequest
) -> SyncSummary:
    return core.sync_protocol.handle_request(request)


async def _handle_exchange(
    core: MembershipCore, link: PeerLink, request: SyncExchange
) -> SyncFacts:
    reply = core.sync_protocol.handle_exchange(request)
    flush_messages(core, link)
    return reply
