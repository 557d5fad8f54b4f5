"""What this node remembers of the revisions in force at others."""

from collections.abc import Callable

from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.models.facts import MemberFact
from bluebellslip._internal.models.identity import NodeId


class AppliedMemory:
    """The greatest revision that every member was seen to have in force.

    Parameters
    ----------
    facts
        The store whose members are followed.
    """

    def __init__(self, facts: FactStore) -> None:
        self._seen: dict[NodeId, int] = {}
        self._known: set[NodeId] = set()
        self._listeners: list[Callable[[NodeId, int], None]] = []
        facts.subscribe(MemberFact, self._follow)

    def subscribe(self, listener: Callable[[NodeId, int], None]) -> None:
        """Call the listener with every revision that is noted."""
        self._listeners.append(listener)

    def note(self, node: NodeId, revision: int) -> None:
        """Remember a revision of a member, if it is one that is known."""
        if node in self._known:
            self._seen[node] = max(revision, self.recall(node))
        for listener in self._listeners:
            listener(node, revision)

    def recall(self, node: NodeId) -> int:
        """Return the greatest revision seen at a node; 0 for none."""
        return self._seen.get(node, 0)

    def forget(self, node: NodeId) -> None:
        """Drop what is remembered of a node."""
        self._known.discard(node)
        self._seen.pop(node, None)

    def _follow(self, fact: MemberFact) -> None:
        self._known.add(fact.node)
        self.note(fact.node, fact.applied)
