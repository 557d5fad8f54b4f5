"""Monitoring of the local service's move, and stops of bad versions.

The local service is the service of the server beside this node.
"""

from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.services import Membership
from bluebellslip._internal.models.config import Preference
from bluebellslip._internal.models.facts import MoveFact, MoveState
from bluebellslip._internal.models.identity import ServiceName
from bluebellslip._internal.models.move_rows import MoveRow
from bluebellslip._internal.moves.evidence_collector import (
    MoveEvidenceCollector,
)
from bluebellslip._internal.moves.exchange import EvidenceExchange
from bluebellslip._internal.moves.plan import POLICY_RULES
from bluebellslip._internal.moves.policy import PolicyView, is_conclusive
from bluebellslip._internal.moves.servers import (
    compute_capacity,
    live_endpoints,
)
from bluebellslip._internal.moves.store import MoveStore
from bluebellslip._internal.moves.transitions import is_settled


class MoveMonitor:
    """Evaluates the evidence on the local service's move.

    Every node of the service does so independently, without the coordinator.

    Parameters
    ----------
    context
        State that the plug-ins share.
    store
        Store of rows and facts of moves.
    exchange
        Exchange of counts with the service's other nodes.
    membership
        Provides the local server.
    """

    def __init__(
        self,
        context: Context,
        store: MoveStore,
        exchange: EvidenceExchange,
        membership: Membership,
    ) -> None:
        self._context = context
        self._store = store
        self._exchange = exchange
        self._membership = membership
        self._service: ServiceName | None = None
        self._collector: MoveEvidenceCollector | None = None

    @property
    def service(self) -> ServiceName | None:
        """Service of the local server; kept after that server has left."""
        return self._service

    @property
    def collector(self) -> MoveEvidenceCollector | None:
        """Evidence on the local service's move."""
        return self._collector

    @property
    def preference(self) -> Preference:
        """Whether safety or the deadline takes precedence."""
        snapshot = self._context.applied.current
        return Preference.SAFETY if snapshot is None else snapshot.preference

    def observe(self) -> None:
        """Collect evidence; stop a version if the evidence is conclusive."""
        service = self._update_service()
        if service is None:
            return
        fact = self._store.find_fact(service)
        collector = None
        if fact is not None and self._needs_comparison(fact):
            collector = self._update_collector(fact)
        windows = self._exchange.tick(send=collector is not None)
        if fact is not None and collector is not None:
            collector.observe(windows)
            self._stop_if_conclusive(fact, collector)

    def is_alarmed(self, row: MoveRow) -> bool:
        """Return whether to begin a return from a finished move."""
        collector = self._collector
        if collector is None or collector.move != row.move:
            return False
        return collector.has_regressed and self._can_return(row)

    def view(self, row: MoveRow) -> PolicyView:
        """Return the input of the policy."""
        collector = self._collector
        if collector is None or collector.move != row.move:
            collector = MoveEvidenceCollector(row)
        endpoints = live_endpoints(
            self._context.directory, row.service, row.new
        )
        capacity = compute_capacity(endpoints, collector.busy_slots)
        return collector.view(
            row,
            self.preference,
            self._context.clock.now(),
            (len(endpoints), capacity),
        )

    def _update_service(self) -> ServiceName | None:
        backend = self._membership.own_backend
        if backend is not None and backend.service != self._service:
            self._service = backend.service
            self._exchange.select_service(backend.service)
            self._collector = None
        return self._service

    def _update_collector(self, fact: MoveFact) -> MoveEvidenceCollector:
        collector = self._collector
        if collector is None or collector.move != fact.move:
            collector = MoveEvidenceCollector.from_earlier(fact, collector)
            self._collector = collector
        collector.update_share(fact.share)
        return collector

    def _stop_if_conclusive(
        self, fact: MoveFact, collector: MoveEvidenceCollector
    ) -> None:
        finding = collector.assessment.finding
        if finding is None:
            return
        if not is_conclusive(finding, POLICY_RULES[self.preference]):
            return
        if fact.returns is None:
            self._store.stop_version(
                fact.service, fact.move, fact.new, finding.text
            )
        else:
            self._store.stop_version(
                fact.service, fact.returns, fact.old, finding.text
            )

    def _needs_comparison(self, fact: MoveFact) -> bool:
        """Return whether a move is in progress or a return is possible."""
        if fact.state is MoveState.MOVING:
            return True
        return is_settled(fact) and self._can_return(fact)

    def _can_return(self, move: MoveFact | MoveRow) -> bool:
        previous_version = move.old if move.returns is None else move.new
        return bool(
            live_endpoints(
                self._context.directory, move.service, previous_version
            )
        )
