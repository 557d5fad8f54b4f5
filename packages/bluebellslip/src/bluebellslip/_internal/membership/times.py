"""Intervals, timeouts and limits of membership."""

import dataclasses
import datetime as dt
from typing import Final

MAX_FACTS_PER_MESSAGE: Final = 8
MAX_FACT_BYTES_PER_MESSAGE: Final = 1000
MAX_QUEUED_FACTS: Final = 1024
MAX_MEMBERS: Final = 4096  # tombstones included
MAX_FORWARDED_PROBES: Final = 64  # outstanding on behalf of others
MAX_FACTS_PER_SYNC: Final = 1024  # in each message of an anti-entropy exchange


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipTimes:
    """Intervals and timeouts of probing, suspicion and expiry.

    Parameters
    ----------
    tick_interval
        Longest time from one tick of the state machines to the next.
    probe_interval
        Time from one probe to the next. A probe that is not answered within
        this time has failed.
    probe_timeout
        Time after which a probe is repeated through other members.
    suspicion_timeout
        Time after which a suspect that has not refuted the suspicion is
        declared dead.
    pause_threshold
        Time between two ticks beyond which the node counts as paused.
    announcement_lifetime
        Time without renewal after which a backend server is withdrawn.
    region_timeout
        Time without a message from a region after which the region counts as
        partitioned, if probes of it have failed too.
    tombstone_lifetime
        Time that a dead member is remembered.
    lost_region_timeout
        Time without a message from a region after which its members are
        declared dead.
    sync_interval
        Mean time between two anti-entropy exchanges that a node starts.
    seed_interval
        Mean time between two attempts to contact the configured seeds that
        are not known as live members.
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
