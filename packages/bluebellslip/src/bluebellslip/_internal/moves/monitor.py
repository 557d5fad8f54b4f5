"""Evidence on the own service's move, and the stop that it may ask for."""

from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.services import Membership
from bluebellslip._internal.models.config import Preference
from bluebellslip._internal.models.facts import MoveFact, MoveState
from bluebellslip._internal.models.identity import ServiceName
from bluebellslip._internal.models.move_rows import MoveRow
from bluebellslip._internal.moves.exchange import EvidenceExchange
from bluebellslip._internal.moves.ledger import MoveLedger
from bluebellslip._internal.moves.plan import RULES
from bluebellslip._internal.moves.policy import MoveView, is_bad
from bluebellslip._internal.moves.servers import (
    compute_capacity,
    live_endpoints,
)
from bluebellslip._internal.moves.transitions import is_settled
from bluebellslip._internal.moves.watch import MoveWatch


class MoveGuard:
    """Every node of a service's group judges the evidence for itself.

    Parameters
    ----------
    context
        State that the plug-ins share.
    ledger
        Rows and facts of moves.
    exchange
        The group's evidence.
    membership
        The own server.
    """

    def __init__(
        self,
        context: Context,
        ledger: MoveLedger,
        exchange: EvidenceExchange,
        membership: Membership,
    ) -> None:
        self._context = context
        self._ledger = ledger
        self._exchange = exchange
        self._membership = membership
        self._service: ServiceName | None = None
        self._watch: MoveWatch | None = None

    @property
    def service(self) -> ServiceName | None:
        """Service of the server beside this node; it stays when that goes."""
        return self._service

    @property
    def watch(self) -> MoveWatch | None:
        """Evidence on the own service's move."""
        return self._watch

    @property
    def preference(self) -> Preference:
        """What wins when safety and the deadline disagree."""
        snapshot = self._context.applied.current
        return Preference.SAFETY if snapshot is None else snapshot.preference

    def observe(self) -> None:
        """Take in evidence, and stop the new version if it is bad."""
        service = self._follow_service()
        if service is None:
            return
        fact = self._ledger.find_fact(service)
        watch = None
        if fact is not None and self._is_watched(fact):
            watch = self._follow_move(fact)
        windows = self._exchange.tick(send=watch is not None)
        if fact is not None and watch is not None:
            watch.observe(windows)
            self._judge(fact, watch)

    def is_alarmed(self, row: MoveRow) -> bool:
        """Tell whether a version that is done has changed for the worse."""
        watch = self._watch
        if watch is None or watch.move != row.move:
            return False
        return watch.has_changed and self._has_way_back(row)

    def view(self, row: MoveRow) -> MoveView:
        """Return what the policy decides on."""
        watch = self._watch
        if watch is None or watch.move != row.move:
            watch = MoveWatch(row)
        endpoints = live_endpoints(
            self._context.directory, row.service, row.new
        )
        capacity = compute_capacity(endpoints, watch.busy_slots)
        return watch.view(
            row,
            self.preference,
            self._context.clock.now(),
            (len(endpoints), capacity),
        )

    def _follow_service(self) -> ServiceName | None:
        backend = self._membership.own_backend
        if backend is not None and backend.service != self._service:
            self._service = backend.service
            self._exchange.follow(backend.service)
            self._watch = None
        return self._service

    def _follow_move(self, fact: MoveFact) -> MoveWatch:
        watch = self._watch
        if watch is None or watch.move != fact.move:
            watch = MoveWatch.following(fact, watch)
            self._watch = watch
        watch.follow_share(fact.share)
        return watch

    def _judge(self, fact: MoveFact, watch: MoveWatch) -> None:
        finding = watch.assessment.strongest
        if finding is None:
            return
        if not is_bad(finding, RULES[self.preference]):
            return
        if fact.returns is None:
            self._ledger.stop(fact.service, fact.move, fact.new, finding.text)
        else:
            self._ledger.stop(
                fact.service, fact.returns, fact.old, finding.text
            )

    def _is_watched(self, fact: MoveFact) -> bool:
        """Tell whether there still is something to compare."""
        if fact.state is MoveState.MOVING:
            return True
        return is_settled(fact) and self._has_way_back(fact)

    def _has_way_back(self, move: MoveFact | MoveRow) -> bool:
        left = move.old if move.returns is None else move.new
        return bool(live_endpoints(self._context.directory, move.service, left))
