"""A history of the revisions that nodes applied, and checks of its rules."""

import dataclasses
import itertools
from collections import defaultdict

from bluebellslip._internal.models.snapshot import Snapshot


@dataclasses.dataclass(frozen=True)
class AppliedEvent:
    """A node applied a snapshot.

    ``time_s`` is the event loop's time in seconds; ``start_number`` counts
    the node's starts.
    """

    time_s: float
    node: str
    start_number: int
    snapshot: Snapshot


class ConfigHistory:
    """The accepted configurations and the snapshots that nodes applied."""

    def __init__(self) -> None:
        self.accepted_digests: dict[int, str] = {}
        self.events: list[AppliedEvent] = []

    def record_accepted(self, revision: int, digest: str) -> None:
        assert revision not in self.accepted_digests
        self.accepted_digests[revision] = digest

    def record_applied(
        self, time_s: float, node: str, start_number: int, snapshot: Snapshot
    ) -> None:
        self.events.append(AppliedEvent(time_s, node, start_number, snapshot))

    def check(self, live: set[str]) -> None:
        """Assert the rules for applied snapshots.

        Each node applies only accepted snapshots, whose routes refer to known
        services and call classes. Its revisions increase, but after a restart
        it may apply the last revision again. The last revision that each
        ``live`` node applied is the head revision.
        """
        events_by_node: dict[str, list[AppliedEvent]] = defaultdict(list)
        for event in self.events:
            events_by_node[event.node].append(event)
            self._check_event(event)
        for events in events_by_node.values():
            _check_increasing(events)
        head = max(self.accepted_digests, default=0)
        newest_revisions = {
            node: events[-1].snapshot.revision
            for node, events in events_by_node.items()
        }
        for node in live:
            assert newest_revisions.get(node, 0) == head, (
                f'{node} has not applied the head revision'
            )

    def _check_event(self, event: AppliedEvent) -> None:
        snapshot = event.snapshot
        accepted_digest = self.accepted_digests.get(snapshot.revision)
        assert snapshot.digest == accepted_digest, (
            'a snapshot was applied whose digest was not accepted'
        )
        service_names = {
            spec.name for spec in snapshot.record.document.services
        }
        class_names = {spec.name for spec in snapshot.record.document.classes}
        for routes in snapshot.routes.values():
            for route in routes:
                assert route.service in service_names, (
                    'a route refers to an unknown service'
                )
                assert route.work.name in class_names, (
                    'a route refers to an unknown call class'
                )


def _check_increasing(events: list[AppliedEvent]) -> None:
    for before, after in itertools.pairwise(events):
        assert after.snapshot.revision > before.snapshot.revision or (
            after.start_number != before.start_number
            and after.snapshot.revision == before.snapshot.revision
        ), (
            f'{after.node} applied an older revision, or the same one again '
            'without a restart'
        )
