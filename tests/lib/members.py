"""Member facts, and a membership core without network or real time."""

import datetime as dt
from random import Random

import msgspec

from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.membership.core import MembershipCore
from bluebellslip._internal.membership.encoding import encode_fact
from bluebellslip._internal.membership.messages import Gossip
from bluebellslip._internal.membership.times import MembershipTimes
from bluebellslip._internal.models.facts import (
    Backend,
    Fact,
    MemberFact,
    MemberStatus,
)
from bluebellslip._internal.models.identity import (
    Address,
    Locality,
    NodeId,
    ServiceName,
    VersionName,
)

BACKEND = Backend(
    ServiceName('orders'),
    VersionName('v1'),
    Address('127.0.0.1', 8080),
    slots=12,
    connections=120,
)


def make_member(number: int, **changes) -> MemberFact:
    """Return the fact of a live member in region east."""
    host = f'127.0.1.{number}'
    fact = MemberFact(
        node=NodeId(f'node-{number}'),
        incarnation=100,
        status=MemberStatus.ALIVE,
        changed=0,
        locality=Locality('east', 'a'),
        peer=Address(host, 7000),
        ingress=Address(host, 7001),
        applied=0,
        backend=BACKEND,
    )
    return msgspec.structs.replace(fact, **changes)


class MembershipHarness:
    """The membership core of node 0 with a manual clock.

    Tests deliver facts and gossip to it directly and read its outbox.
    """

    def __init__(self, times: MembershipTimes | None = None) -> None:
        self.clock = ManualClock()
        self.counters = InMemoryCounters()
        self.facts = FactStore()
        self.core = MembershipCore(
            self.facts,
            make_member(0, backend=None),
            times or MembershipTimes(),
            self.clock,
            Random(1),
            self.counters,
            int,  # returns 0 as the applied revision
        )

    @property
    def own_fact(self) -> MemberFact:
        return self.core.own_record.fact

    def receive_facts(self, *facts: Fact) -> None:
        self.core.fact_receiver.receive(encode_fact(fact) for fact in facts)

    def receive_gossip(self, member: MemberFact) -> None:
        """Deliver an empty gossip message from a member."""
        message = Gossip(member.node, 0, ())
        self.core.failure_detector.on_gossip(message, member.peer)

    def run(self, seconds: float, *live: MemberFact) -> None:
        """Advance the clock by ``seconds``, in ticks of 100 ms.

        The ``live`` members send gossip before each tick.
        """
        for _ in range(round(seconds * 10)):
            self.clock.advance(dt.timedelta(milliseconds=100))
            for member in live:
                self.receive_gossip(member)
            self.core.tick()

    def find_status(self, number: int) -> MemberStatus | None:
        member = self.core.member_table.find(NodeId(f'node-{number}'))
        return None if member is None else member.status

    def take_sent(self, kind: type) -> list:
        """Empty the outbox and return its messages of a kind."""
        return [
            message
            for _, message in self.core.outbox.collect()
            if isinstance(message, kind)
        ]
