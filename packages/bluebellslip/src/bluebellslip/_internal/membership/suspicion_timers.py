"""Timeouts of suspected members."""

import dataclasses
import datetime as dt

from bluebellslip._internal.models.facts import MemberFact
from bluebellslip._internal.models.identity import NodeId


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """A suspect's record and the last start of its timeout."""

    fact: MemberFact
    started_at: dt.timedelta


class SuspicionTimers:
    """Suspicions and their timeouts, by node.

    Parameters
    ----------
    timeout
        Time that a suspect has to refute the suspicion.
    """

    def __init__(self, timeout: dt.timedelta) -> None:
        self._timeout = timeout
        self._suspicions: dict[NodeId, Suspicion] = {}

    def start(self, fact: MemberFact, now: dt.timedelta) -> bool:
        """Start a suspicion unless one of an equal or later incarnation exists.

        Returns whether it was started.
        """
        known = self._suspicions.get(fact.node)
        if known and known.fact.incarnation >= fact.incarnation:
            return False
        self._suspicions[fact.node] = Suspicion(fact, now)
        return True

    def cancel(self, node: NodeId) -> None:
        """End a suspicion."""
        self._suspicions.pop(node, None)

    def restart(self, node: NodeId, now: dt.timedelta) -> None:
        """Restart a suspect's timeout after a message from it."""
        known = self._suspicions.get(node)
        if known:
            self._suspicions[node] = Suspicion(known.fact, now)

    def restart_all(self, now: dt.timedelta) -> None:
        """Restart all timeouts after this node was paused."""
        for node in self._suspicions:
            self.restart(node, now)

    def list_expired(self, now: dt.timedelta) -> tuple[Suspicion, ...]:
        """Return the suspicions whose timeout has expired."""
        return tuple(
            suspicion
            for suspicion in self._suspicions.values()
            if now - suspicion.started_at > self._timeout
        )

    def __len__(self) -> int:
        return len(self._suspicions)
