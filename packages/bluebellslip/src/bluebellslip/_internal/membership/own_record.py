"""The node's own record."""

import datetime as dt
from random import Random
from typing import Any, Final

import msgspec

from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.membership.times import MembershipTimes
from bluebellslip._internal.models.facts import (
    Backend,
    MemberFact,
    MemberStatus,
)

_MILLISECOND: Final = dt.timedelta(milliseconds=1)
_EPOCH: Final = dt.datetime(1970, 1, 1, tzinfo=dt.UTC)
_PUBLISH_DELAY_PER_PAIR: Final = dt.timedelta(milliseconds=1)
_MAX_PUBLISH_DELAY: Final = dt.timedelta(minutes=30)


def compute_incarnation(clock: Clock) -> int:
    """Return a starting node's incarnation: the Unix time in milliseconds."""
    return (clock.now() - _EPOCH) // _MILLISECOND


class OwnRecord:
    """The node's own member fact, which received facts never replace.

    Parameters
    ----------
    initial
        The member fact at the node's start.
    facts
        The store that every change is merged into.
    clock
        The node's clock.
    times
        Intervals and timeouts of membership.
    """

    def __init__(
        self,
        initial: MemberFact,
        facts: FactStore,
        clock: Clock,
        times: MembershipTimes,
    ) -> None:
        self._fact = initial
        self._facts = facts
        self._clock = clock
        self._times = times
        self._announced_at = clock.elapsed()
        self._publish_at: dt.timedelta | None = None
        self._departed = False
        facts.merge((initial,))

    @property
    def fact(self) -> MemberFact:
        """The current record."""
        return self._fact

    @property
    def draining(self) -> bool:
        """Whether the node is draining or has departed."""
        return self._fact.status is not MemberStatus.ALIVE

    def announce(self, backend: Backend) -> None:
        """Apply a backend server's announcement and renew its lease."""
        self._announced_at = self._clock.elapsed()
        if backend != self._fact.backend:
            self._change(backend=backend)

    def expire_announcement(self) -> bool:
        """Withdraw the backend server if its announcement has expired.

        Returns whether it was withdrawn.
        """
        if self._fact.backend is None:
            return False
        age = self._clock.elapsed() - self._announced_at
        if age <= self._times.announcement_lifetime:
            return False
        self._change(backend=None)
        return True

    def publish_revision(
        self, revision: int, members: int, random: Random
    ) -> None:
        """Publish the applied revision in the record after a random delay.

        The greatest delay grows with the square of the number of members up
        to a bound, and each node waits for a random part of it, so that one
        change of the configuration does not make all nodes change their
        records at the same time.
        """
        if revision <= self._fact.applied:
            return
        now = self._clock.elapsed()
        if self._publish_at is None:
            max_delay = min(
                _PUBLISH_DELAY_PER_PAIR * members * members, _MAX_PUBLISH_DELAY
            )
            self._publish_at = now + max_delay * random.random()
        if now >= self._publish_at:
            self._publish_at = None
            self._change(applied=revision)

    def mark_draining(self) -> None:
        """Mark the node as draining."""
        if not self.draining:
            self._change(status=MemberStatus.DRAINING)

    def mark_departed(self) -> None:
        """Mark the node as dead and refute nothing from then on."""
        self._departed = True
        self._change(status=MemberStatus.DEAD, backend=None)

    def refute(self, seen: MemberFact) -> bool:
        """Refute a received record if it outranks the node's current one.

        Returns whether it was refuted.
        """
        if self._departed or seen.rank <= self._fact.rank:
            return False
        self.raise_incarnation(seen.incarnation)
        return True

    def raise_incarnation(self, seen: int = 0) -> None:
        """Start a new incarnation above the current and the seen one."""
        incarnation = max(seen, self._fact.incarnation) + 1
        self._change(incarnation=incarnation)

    def _change(self, **changes: Any) -> None:
        self._fact = msgspec.structs.replace(
            self._fact, changed=self._fact.changed + 1, **changes
        )
        self._facts.merge((self._fact,))
