"""Suspects and the time that they have left."""

import dataclasses
import datetime as dt

from bluebellslip._internal.models.facts import MemberFact
from bluebellslip._internal.models.identity import NodeId


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """A suspect: since when, and as of which incarnation."""

    fact: MemberFact
    since: dt.timedelta


class Suspicions:
    """Suspects by name.

    Parameters
    ----------
    period
        Time that a suspect has to refute.
    """

    def __init__(self, period: dt.timedelta) -> None:
        self._period = period
        self._open: dict[NodeId, Suspicion] = {}

    def begin(self, fact: MemberFact, now: dt.timedelta) -> bool:
        """Open a suspicion; false if it was open."""
        known = self._open.get(fact.node)
        if known and known.fact.incarnation >= fact.incarnation:
            return False
        self._open[fact.node] = Suspicion(fact, now)
        return True

    def close(self, node: NodeId) -> None:
        """End a suspicion."""
        self._open.pop(node, None)

    def postpone(self, node: NodeId, now: dt.timedelta) -> None:
        """Begin the time anew, since the suspect gave a sign."""
        known = self._open.get(node)
        if known:
            self._open[node] = Suspicion(known.fact, now)

    def shift(self, now: dt.timedelta) -> None:
        """Begin all anew, since the node itself was paused."""
        for node in self._open:
            self.postpone(node, now)

    def expired(self, now: dt.timedelta) -> tuple[Suspicion, ...]:
        """Return suspicions that ran out."""
        return tuple(
            suspicion
            for suspicion in self._open.values()
            if now - suspicion.since > self._period
        )

    def __len__(self) -> int:
        return len(self._open)
