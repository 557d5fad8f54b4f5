"""Suspects and the time that they have left."""

import dataclasses
import datetime as dt

from bluebellslip._internal.models.facts import MemberFact
from bluebellslip._internal.models.identity import NodeId


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """A suspect: since when, and as of which incarnation."""

    fact: MemberFact
    started_at: dt.timedelta


class SuspicionTimers:
    """Suspects by name.

    Parameters
    ----------
    timeout
        Time that a suspect has to refute.
    """

    def __init__(self, timeout: dt.timedelta) -> None:
        self._timeout = timeout
        self._suspicions: dict[NodeId, Suspicion] = {}

    def start(self, fact: MemberFact, now: dt.timedelta) -> bool:
        """Open a suspicion; false if it was open."""
        known = self._suspicions.get(fact.node)
        if known and known.fact.incarnation >= fact.incarnation:
            return False
        self._suspicions[fact.node] = Suspicion(fact, now)
        return True

    def cancel(self, node: NodeId) -> None:
        """End a suspicion."""
        self._suspicions.pop(node, None)

    def restart(self, node: NodeId, now: dt.timedelta) -> None:
        """Begin the time anew, since the suspect gave a sign."""
        known = self._suspicions.get(node)
        if known:
            self._suspicions[node] = Suspicion(known.fact, now)

    def restart_all(self, now: dt.timedelta) -> None:
        """Begin all anew, since the node itself was paused."""
        for node in self._suspicions:
            self.restart(node, now)

    def list_expired(self, now: dt.timedelta) -> tuple[Suspicion, ...]:
        """Return suspicions that ran out."""
        return tuple(
            suspicion
            for suspicion in self._suspicions.values()
            if now - suspicion.started_at > self._timeout
        )

    def __len__(self) -> int:
        return len(self._suspicions)
