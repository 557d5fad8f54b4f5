"""Keeps the lease by which this node accepts the keys of client accounts."""

import datetime as dt
import logging
from collections.abc import Callable
from typing import Final

from bluebellslip._internal.accounts.revocation_lease import (
    ClockReading,
    ConfigFact,
    RevocationLease,
)
from bluebellslip._internal.exceptions import NotReadyError
from bluebellslip._internal.fleet.beacons import Beacon, ConfigFactBeacon
from bluebellslip._internal.kernel.clock import SuspendAwareClock
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.mesh.holder import ConfigHolder

logger = logging.getLogger(__name__)

# Share of the lease after which a node reads the store itself, if no fact has
# come from the nodes that watch it.
OLD_SHARE: Final = 0.5
_MILLISECOND: Final = dt.timedelta(milliseconds=1)


class LeaseKeeper:
    """Collects facts about the store, and refuses keys without a recent one.

    Does nothing unless the deployment asks for strict revocation and the
    configuration has client accounts.

    Parameters
    ----------
    revoke
        Time after which a removed key must not be accepted; none without
        strict revocation.
    clock
        Goes on while the instance is suspended.
    holder
        The active configuration.
    counters
        Metrics.
    request_broadcast
        Sends this node's beacons at once.
    """

    def __init__(
        self,
        revoke: dt.timedelta | None,
        clock: SuspendAwareClock,
        holder: ConfigHolder,
        counters: Counters,
        request_broadcast: Callable[[], None],
    ) -> None:
        self._is_strict = revoke is not None
        self._lease = RevocationLease(revoke or dt.timedelta())
        self._clock = clock
        self._holder = holder
        self._counters = counters
        self._request_broadcast = request_broadcast
        self._has_expired = False
        # Whether the store has a configuration that this node can't read.
        self.is_newest_unreadable = False

    @property
    def is_strict(self) -> bool:
        """Whether the deployment asks for strict revocation."""
        return self._is_strict

    @property
    def is_active(self) -> bool:
        """Whether keys are accepted only by a lease."""
        table = self._holder.table
        return (
            self._is_strict and table is not None and table.accounts.is_active
        )

    @property
    def lease(self) -> RevocationLease:
        """The lease."""
        return self._lease

    @property
    def is_old(self) -> bool:
        """Whether the lease is running out."""
        if not self.is_active:
            return False
        age = self._lease.find_age(self._holder.revision, self.now)
        return age is None or age > self._lease.duration * OLD_SHARE

    @property
    def now(self) -> dt.timedelta:
        """Time on the clock that goes on while the instance is suspended."""
        return self._clock.since_boot()

    def check(self, revision: int) -> None:
        """Check that a configuration may still accept keys.

        Raises
        ------
        NotReadyError
            When it may have been replaced for too long.
        """
        if not self.is_active:
            return
        now = self.now
        if self._lease.holds(revision, now):
            self._record_state(has_expired=False)
            return
        self._record_state(has_expired=True)
        self._counters.add('keys_not_checked')
        raise NotReadyError(
            'The node does not know whether the key was removed lately.',
            context={
                name: str(found)
                for name, found in _describe(self._lease, revision, now).items()
            },
        )

    def check_final(self, revision: int) -> None:
        """Check that a configuration may refuse a key.

        Raises
        ------
        NotReadyError
            When the store has a newer one, which may know the key.
        """
        knows_newer = self.is_newest_unreadable or self._lease.knows_newer(
            revision
        )
        if self.is_active and knows_newer:
            raise NotReadyError(
                'The store has a newer configuration than the node.',
                context={'revision': str(revision)},
            )

    def apply_answer(self, fact: ConfigFact, asked_at: dt.timedelta) -> None:
        """Apply an answer of the store, which was asked at a time."""
        was_old = self.is_old
        self._lease.apply_answer(fact, asked_at, self.now)
        if was_old and not self.is_old:
            # Nodes nearby may be about to read the store too.
            self._request_broadcast()

    def apply_clock(
        self, era: int, reading: dt.timedelta, asked_at: dt.timedelta
    ) -> None:
        """Apply what the store's clock shows, without a configuration."""
        self._lease.apply_clock(era, ClockReading(asked_at, reading), self.now)

    def apply_beacon(self, beacon: Beacon) -> None:
        """Apply the fact in a beacon."""
        found = beacon.config_fact
        if found is not None and self._is_strict:
            as_of = found.as_of_ms * _MILLISECOND
            self._lease.apply_fact(
                ConfigFact(found.revision, as_of, found.era), self.now
            )

    def make_beacon(self) -> ConfigFactBeacon | None:
        """Return the newest fact for this node's beacons, if one is needed."""
        fact = self._lease.newest_fact
        if fact is None or not self.is_active:
            return None
        return ConfigFactBeacon(
            fact.revision, fact.as_of // _MILLISECOND, fact.era
        )

    def _record_state(self, *, has_expired: bool) -> None:
        """Log that the lease has expired or holds again."""
        if has_expired == self._has_expired:
            return
        self._has_expired = has_expired
        fields = _describe(self._lease, self._holder.revision, self.now)
        if has_expired:
            logger.warning('lease_expired', extra=fields)
        else:
            logger.info('lease_renewed', extra=fields)


def _describe(
    lease: RevocationLease, revision: int, now: dt.timedelta
) -> dict[str, object]:
    fact = lease.newest_fact
    age = lease.find_age(revision, now)
    return {
        'revision': revision,
        'newest': None if fact is None else fact.revision,
        'age_s': age and round(age.total_seconds(), 3),
    }
