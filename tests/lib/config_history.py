"""A checker of what was in force where, over restarts and outages."""

import dataclasses
import itertools
from collections import defaultdict

from bluebellslip._internal.models.snapshot import Snapshot


@dataclasses.dataclass(frozen=True)
class AppliedEvent:
    """A node began to serve from a revision."""

    time_s: float
    node: str
    start_number: int
    snapshot: Snapshot


class ConfigHistory:
    """Accepted configurations and what the nodes served from."""

    def __init__(self) -> None:
        self.accepted: dict[int, str] = {}
        self.events: list[AppliedEvent] = []

    def record_accepted(self, revision: int, digest: str) -> None:
        assert revision not in self.accepted
        self.accepted[revision] = digest

    def record_applied(
        self, time_s: float, node: str, start_number: int, snapshot: Snapshot
    ) -> None:
        self.events.append(AppliedEvent(time_s, node, start_number, snapshot))

    def check(self, live: set[str]) -> None:
        """Check every rule; the live nodes must have reached the head."""
        events_by_node: dict[str, list[AppliedEvent]] = defaultdict(list)
        for event in self.events:
            events_by_node[event.node].append(event)
            self._check_event(event)
        for events in events_by_node.values():
            _check_increasing(events)
        head = max(self.accepted, default=0)
        reached = {
            node: events[-1].snapshot.revision
            for node, events in events_by_node.items()
        }
        for node in live:
            assert reached.get(node, 0) == head, f'{node} is behind'

    def _check_event(self, event: AppliedEvent) -> None:
        snapshot = event.snapshot
        accepted = self.accepted.get(snapshot.revision)
        assert snapshot.digest == accepted, 'not what was accepted'
        services = {spec.name for spec in snapshot.record.document.services}
        works = {spec.name for spec in snapshot.record.document.classes}
        for routes in snapshot.routes.values():
            for route in routes:
                assert route.service in services, 'a dangling route'
                assert route.work.name in works, 'a dangling route'


def _check_increasing(events: list[AppliedEvent]) -> None:
    for before, after in itertools.pairwise(events):
        assert after.snapshot.revision > before.snapshot.revision or (
            after.start_number != before.start_number
            and after.snapshot.revision == before.snapshot.revision
        ), f'{after.node} went back'
