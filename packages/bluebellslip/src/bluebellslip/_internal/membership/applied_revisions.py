"""What this node remembers of the revisions in force at others."""

from collections.abc import Callable

from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.models.facts import MemberFact
from bluebellslip._internal.models.identity import NodeId


class AppliedRevisions:
    """The greatest revision that every member was seen to have in force.

    Parameters
    ----------
    facts
        The store whose members are followed.
    """

    def __init__(self, facts: FactStore) -> None:
        self._revisions: dict[NodeId, int] = {}
        self._members: set[NodeId] = set()
        self._listeners: list[Callable[[NodeId, int], None]] = []
        facts.subscribe(MemberFact, self._update)

    def subscribe(self, listener: Callable[[NodeId, int], None]) -> None:
        """Call the listener with every revision that is noted."""
        self._listeners.append(listener)

    def record(self, node: NodeId, revision: int) -> None:
        """Remember a revision of a member, if it is one that is known."""
        if node in self._members:
            self._revisions[node] = max(revision, self.find(node))
        for listener in self._listeners:
            listener(node, revision)

    def find(self, node: NodeId) -> int:
        """Return the greatest revision seen at a node; 0 for none."""
        return self._revisions.get(node, 0)

    def forget(self, node: NodeId) -> None:
        """Drop what is remembered of a node."""
        self._members.discard(node)
        self._revisions.pop(node, None)

    def _update(self, fact: MemberFact) -> None:
        self._members.add(fact.node)
        self.record(fact.node, fact.applied)
