"""Simulation of one move under the policy that the moves plug-in implements."""

import dataclasses
import datetime as dt
from random import Random
from typing import Final

from bench.moves_fakes import (
    NEW,
    OLD,
    SERVICE,
    SimulatedExchange,
    SimulatedMembership,
    SimulatedTable,
    make_context,
    make_member,
    run_without_waiting,
)
from bench.moves_runs import (
    DURATION_S,
    WATCHED_AFTER_DEADLINE_S,
    MoveRecord,
    RunRecorder,
)
from bench.moves_simulator import TICK, TICK_S, CallSimulator
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.kernel.services import MoveRequest
from bluebellslip._internal.kernel.traffic_splits import (
    TrafficSplit,
    TrafficSplitTable,
)
from bluebellslip._internal.models.facts import (
    FULL_SHARE,
    Fact,
    MemberStatus,
    MoveFact,
    MoveState,
    StopFact,
)
from bluebellslip._internal.moves.coordinator import MoveCoordinator
from bluebellslip._internal.moves.monitor import MoveMonitor
from bluebellslip._internal.moves.service import MoveService
from bluebellslip._internal.moves.store import MoveStore
from bluebellslip._internal.moves.windows import Window

EVALUATING_NODES: Final = 2  # nodes that gather evidence in a run with faults
FACT_LOSS_RATE: Final = 0.2  # fraction of the facts, per node and tick
# Lower than that of facts, because each window is sent repeatedly.
WINDOW_LOSS_RATE: Final = 0.01  # fraction of the windows, per node and tick

_TimeSpan = tuple[float, float]


@dataclasses.dataclass(frozen=True, slots=True)
class InjectedFaults:
    """Faults of one run; time spans in seconds from its start.

    The platform is down during ``outages``; ``pauses`` has, for each node, the
    time spans in which its process does not run. ``fact_loss_rate`` is the
    probability that a node misses a fact in a tick; ``response_loss_rate`` is
    the probability that the platform's responses in a tick are lost.
    """

    outages: tuple[_TimeSpan, ...] = ()
    pauses: tuple[tuple[_TimeSpan, ...], ...] = ((),)
    fact_loss_rate: float = 0
    response_loss_rate: float = 0

    @classmethod
    def draw(cls, random_source: Random) -> 'InjectedFaults':
        """Draw outages and pauses; the loss rates are constant.

        The first node, which starts as the coordinator, is either killed or
        frozen twice. The second node is frozen once.
        """
        outages = tuple(
            (begin, begin + random_source.uniform(30, 300))
            for begin in _draw_times(random_source, random_source.randint(1, 3))
        )
        killed = (random_source.uniform(0, DURATION_S), float('inf'))
        frozen = tuple(
            (begin, begin + random_source.uniform(5, 60))
            for begin in _draw_times(random_source, 2)
        )
        first_node_pauses = (
            (killed,) if random_source.getrandbits(1) else frozen
        )
        return cls(
            outages, (first_node_pauses, frozen[:1]), FACT_LOSS_RATE, 0.1
        )


class SimulatedNode:
    """A node that evaluates evidence and may become the coordinator."""

    def __init__(
        self,
        index: int,
        simulator: CallSimulator,
        clock: ManualClock,
        table: SimulatedTable,
    ) -> None:
        self.context = make_context(index, clock, simulator.service.preference)
        self.exchange = SimulatedExchange()
        member = make_member(
            index, OLD, simulator.service.slots, MemberStatus.ALIVE, 0
        )
        store = MoveStore(self.context, table)
        self.monitor = MoveMonitor(
            self.context,
            store,
            self.exchange,  # type: ignore[arg-type]
            SimulatedMembership(member),
        )
        self.coordinator = MoveCoordinator(self.context, store, self.monitor)
        self.service = MoveService(self.context, store, self.monitor)

    def list_move_facts(self) -> list[Fact]:
        """Return the facts on moves and stops that the node holds."""
        return [
            fact
            for fact in self.context.facts
            if isinstance(fact, MoveFact | StopFact)
        ]


class PolicyRun:
    """A simulated move, watched for at most 10 minutes after its deadline.

    Parameters
    ----------
    simulator
        Draws the service's calls.
    faults
        Faults of the platform and the nodes, and losses between them.
    record
        Receives the results of the move.
    """

    def __init__(
        self,
        simulator: CallSimulator,
        faults: InjectedFaults,
        record: MoveRecord,
    ) -> None:
        self._simulator = simulator
        self._faults = faults
        self._record = record
        self._recorder = RunRecorder(simulator, record)
        self._clock = ManualClock()
        self._table = SimulatedTable()
        self._nodes = [
            SimulatedNode(index, simulator, self._clock, self._table)
            for index in range(len(faults.pauses))
        ]
        # Facts and traffic splits of a node that routes calls.
        self._routing_facts = FactStore()
        self._traffic_splits = TrafficSplitTable(self._routing_facts)
        self._is_reported_lost: bool | None = None

    def run(self) -> None:
        """Simulate the move and fill the record."""
        self._update_members(0)
        node = self._nodes[0]
        node.monitor.observe()
        deadline = self._clock.now() + dt.timedelta(seconds=DURATION_S)
        request = MoveRequest(SERVICE, NEW, deadline, 'operator', 'move')
        run_without_waiting(node.service.request(request))
        for time_s in range(0, DURATION_S + WATCHED_AFTER_DEADLINE_S, TICK_S):
            self._tick(time_s)
            if self._is_over(time_s):
                break
        self._record.broken_invariant = self._find_broken_invariant()

    def _tick(self, time_s: int) -> None:
        share = self._find_share()
        old, new = self._simulator.draw_windows(time_s, share)
        self._recorder.record_tick(time_s, share, old, new)
        self._clock.advance(TICK)
        self._table.is_down = _is_within(time_s, self._faults.outages)
        self._table.loses_responses = self._draw_event(
            self._faults.response_loss_rate
        )
        self._update_members(time_s)
        for node, pauses in zip(self._nodes, self._faults.pauses, strict=True):
            self._deliver_windows(node, old, new)
            if _is_within(time_s, pauses):
                continue
            node.monitor.observe()
            self._record_stop(node, time_s)
            run_without_waiting(node.coordinator.poll())
        self._gossip()
        self._record_state(time_s)

    def _find_share(self) -> int:
        split = self._traffic_splits.find(SERVICE)
        if split is None or self._is_reported_lost:
            return 0
        return _get_new_share(split)

    def _deliver_windows(
        self, node: SimulatedNode, old: Window, new: Window
    ) -> None:
        loss_rate = WINDOW_LOSS_RATE if self._faults.fact_loss_rate else 0
        delivered = {
            version: window
            for version, window in ((OLD, old), (NEW, new))
            if not self._draw_event(loss_rate)
        }
        node.exchange.windows.append(delivered)

    def _gossip(self) -> None:
        facts = [
            fact for node in self._nodes for fact in node.list_move_facts()
        ]
        for store in (
            self._routing_facts,
            *(node.context.facts for node in self._nodes),
        ):
            store.merge(
                fact
                for fact in facts
                if not self._draw_event(self._faults.fact_loss_rate)
            )

    def _update_members(self, time_s: float) -> None:
        is_reported_lost = self._simulator.reports_false_loss(time_s)
        if is_reported_lost is self._is_reported_lost:
            return
        self._is_reported_lost = is_reported_lost
        status = MemberStatus.DEAD if is_reported_lost else MemberStatus.ALIVE
        servers = self._simulator.service.servers
        slots = self._simulator.service.slots
        for node in self._nodes:
            for index in range(servers):
                node.context.facts.merge((
                    make_member(index, OLD, slots, MemberStatus.ALIVE, 0),
                    make_member(
                        servers + index, NEW, slots, status, int(time_s)
                    ),
                ))

    def _record_stop(self, node: SimulatedNode, time_s: int) -> None:
        stops = node.context.facts.select(StopFact)
        if stops and self._record.decided_s is None:
            self._record.decided_s = time_s + TICK_S

    def _record_state(self, time_s: int) -> None:
        record = self._record
        split = self._traffic_splits.find(SERVICE)
        if split is None:
            return
        now_s = time_s + TICK_S
        if _get_new_share(split) == 0 and _is_withdrawn(split):
            record.withdrawn_s = _keep_first(record.withdrawn_s, now_s)
        elif split.state is MoveState.DONE and split.new == NEW:
            record.done_s = _keep_first(record.done_s, now_s)

    def _is_over(self, time_s: int) -> bool:
        record = self._record
        if record.withdrawn_s is not None:
            return time_s > record.withdrawn_s + 30 and not self._table.is_down
        return record.done_s is not None and time_s >= DURATION_S

    def _find_broken_invariant(self) -> str:
        """Return the name of a broken invariant, or an empty string."""
        stored_moves = self._table.stored_moves
        final = {
            (row.move, row.state)
            for row in stored_moves
            if row.state is not MoveState.MOVING
        }
        if len(final) != len({move for move, _ in final}):
            return 'both done and withdrawn'
        epochs = [row.epoch for row in stored_moves]
        if epochs != sorted(epochs):
            return 'epoch decreased'
        if self._record.late_calls:
            return 'calls after the decision'
        return ''

    def _draw_event(self, probability: float) -> bool:
        return (
            probability > 0
            and self._simulator.random_source.random() < probability
        )


def _get_new_share(split: TrafficSplit) -> int:
    if split.new == NEW:
        return split.new_share
    return FULL_SHARE - split.new_share


def _keep_first(known_s: float | None, now_s: float) -> float:
    return now_s if known_s is None else known_s


def _is_withdrawn(split: TrafficSplit) -> bool:
    if split.new == NEW:
        return split.stopped or split.state is MoveState.WITHDRAWN
    return split.old_stopped or split.state is MoveState.DONE


def _is_within(time_s: float, spans: tuple[_TimeSpan, ...]) -> bool:
    return any(begin <= time_s < end for begin, end in spans)


def _draw_times(random_source: Random, count: int) -> list[float]:
    return sorted(random_source.uniform(0, DURATION_S) for _ in range(count))
