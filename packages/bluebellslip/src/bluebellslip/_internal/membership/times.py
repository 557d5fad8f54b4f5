"""Periods and bounds of membership."""

import dataclasses
import datetime as dt
from typing import Final

MAX_FACTS_PER_MESSAGE: Final = 8  # facts per message
MAX_FACT_BYTES_PER_MESSAGE: Final = 1000  # bytes of facts per message
MAX_QUEUED_FACTS: Final = 1024  # facts that wait for being sent
MAX_MEMBERS: Final = 4096  # members kept, tombstones included
MAX_FORWARDED_PROBES: Final = 64  # probes on behalf of others at once
MAX_FACTS_PER_SYNC: Final = 1024  # facts per anti-entropy exchange


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipTimes:
    """Periods of probing, suspicion and expiry.

    Parameters
    ----------
    tick_interval
        How often the state machine is driven.
    probe_interval
        Time from one probe to the next; a probe fails at its end.
    probe_timeout
        Time after which a probe is repeated through other members.
    suspicion_timeout
        Time that a suspect has to refute before it is declared dead.
    pause_threshold
        Jump of the clock between two ticks that counts as a pause.
    announcement_lifetime
        Time without renewal after which a backend server is withdrawn.
    region_timeout
        Time without any sign of a region after which it counts as cut.
    tombstone_lifetime
        Time that a dead member is remembered.
    lost_region_timeout
        Time that the members of a silent region are kept.
    sync_interval
        Mean time between two anti-entropy exchanges that a node begins.
    seed_interval
        Mean time between two looks for seeds that are no live members.
    """

    tick_interval: dt.timedelta = dt.timedelta(milliseconds=100)
    probe_interval: dt.timedelta = dt.timedelta(seconds=1)
    probe_timeout: dt.timedelta = dt.timedelta(milliseconds=300)
    suspicion_timeout: dt.timedelta = dt.timedelta(seconds=4)
    pause_threshold: dt.timedelta = dt.timedelta(seconds=2)
    announcement_lifetime: dt.timedelta = dt.timedelta(seconds=3)
    region_timeout: dt.timedelta = dt.timedelta(seconds=15)
    tombstone_lifetime: dt.timedelta = dt.timedelta(hours=2)
    lost_region_timeout: dt.timedelta = dt.timedelta(hours=24)
    sync_interval: dt.timedelta = dt.timedelta(seconds=10)
    seed_interval: dt.timedelta = dt.timedelta(seconds=30)
