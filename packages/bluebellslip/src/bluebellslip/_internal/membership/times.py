"""Periods and bounds of membership."""

import dataclasses
import datetime as dt
from typing import Final

GOSSIP_FACTS: Final = 8  # facts per message
GOSSIP_BYTES: Final = 1000  # bytes of facts per message
GOSSIP_QUEUE: Final = 1024  # facts that wait for being sent
MEMBER_LIMIT: Final = 4096  # members kept, tombstones included
FORWARD_LIMIT: Final = 64  # probes on behalf of others at once
SYNC_FACTS: Final = 1024  # facts per anti-entropy exchange


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipTimes:
    """Periods of probing, suspicion and expiry.

    Parameters
    ----------
    tick
        How often the state machine is driven.
    probe_period
        Time from one probe to the next; a probe fails at its end.
    probe_timeout
        Time after which a probe is repeated through other members.
    suspicion
        Time that a suspect has to refute before it is declared dead.
    pause
        Jump of the clock between two ticks that counts as a pause.
    announcement
        Time without renewal after which a backend server is withdrawn.
    region_silence
        Time without any sign of a region after which it counts as cut.
    tombstone
        Time that a dead member is remembered.
    region_memory
        Time that the members of a silent region are kept.
    sync_period
        Mean time between two anti-entropy exchanges that a node begins.
    seed_period
        Mean time between two looks for seeds that are no live members.
    """

    tick: dt.timedelta = dt.timedelta(milliseconds=100)
    probe_period: dt.timedelta = dt.timedelta(seconds=1)
    probe_timeout: dt.timedelta = dt.timedelta(milliseconds=300)
    suspicion: dt.timedelta = dt.timedelta(seconds=4)
    pause: dt.timedelta = dt.timedelta(seconds=2)
    announcement: dt.timedelta = dt.timedelta(seconds=3)
    region_silence: dt.timedelta = dt.timedelta(seconds=15)
    tombstone: dt.timedelta = dt.timedelta(hours=2)
    region_memory: dt.timedelta = dt.timedelta(hours=24)
    sync_period: dt.timedelta = dt.timedelta(seconds=10)
    seed_period: dt.timedelta = dt.timedelta(seconds=30)
