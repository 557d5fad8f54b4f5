"""Configuration revisions that other members have applied."""

from collections.abc import Callable

from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.models.facts import MemberFact
from bluebellslip._internal.models.identity import NodeId


class AppliedRevisions:
    """The highest revision that each member is known to have applied.

    Parameters
    ----------
    facts
        The store whose members are tracked.
    """

    def __init__(self, facts: FactStore) -> None:
        self._revisions: dict[NodeId, int] = {}
        self._members: set[NodeId] = set()
        self._listeners: list[Callable[[NodeId, int], None]] = []
        facts.subscribe(MemberFact, self._update)

    def subscribe(self, listener: Callable[[NodeId, int], None]) -> None:
        """Call the listener with each reported revision and its node."""
        self._listeners.append(listener)

    def record(self, node: NodeId, revision: int) -> None:
        """Notify the listeners; store the revision if the node is a member."""
        if node in self._members:
            self._revisions[node] = max(revision, self.find(node))
        for listener in self._listeners:
            listener(node, revision)

    def find(self, node: NodeId) -> int:
        """Return the highest revision recorded for a node, or 0."""
        return self._revisions.get(node, 0)

    def forget(self, node: NodeId) -> None:
        """Drop the revision of a node."""
        self._members.discard(node)
        self._revisions.pop(node, None)

    def _update(self, fact: MemberFact) -> None:
        self._members.add(fact.node)
        self.record(fact.node, fact.applied)
