"""One move under the policy, carried by the plug-in's own parts."""

import dataclasses
import datetime as dt
from random import Random
from typing import Final

from bench.moves_fakes import (
    NEW,
    OLD,
    SERVICE,
    RunExchange,
    RunMembership,
    RunTable,
    finish_now,
    make_context,
    make_member,
)
from bench.moves_runs import AFTER_S, DURATION_S, Meter, Record
from bench.moves_world import TICK, TICK_S, World
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

JUDGES: Final = 2  # nodes that gather evidence in a run with faults
LOST: Final = 0.2  # facts that do not arrive at once
LOST_WINDOWS: Final = 0.01  # after repeats, at the same loss

_Span = tuple[float, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """What fails in one run; times in seconds."""

    outages: tuple[_Span, ...] = ()
    pauses: tuple[tuple[_Span, ...], ...] = ((),)
    lost: float = 0
    lost_answers: float = 0

    @classmethod
    def draw(cls, source: Random) -> 'Faults':
        """Draw outages, a killed or a frozen coordinator, and losses."""
        outages = tuple(
            (begin, begin + source.uniform(30, 300))
            for begin in _draw_times(source, source.randint(1, 3))
        )
        killed = (source.uniform(0, DURATION_S), float('inf'))
        frozen = tuple(
            (begin, begin + source.uniform(5, 60))
            for begin in _draw_times(source, 2)
        )
        first = (killed,) if source.getrandbits(1) else frozen
        return cls(outages, (first, frozen[:1]), LOST, 0.1)


class RunNode:
    """A node that evaluates evidence and may become the coordinator."""

    def __init__(
        self, index: int, world: World, clock: ManualClock, table: RunTable
    ) -> None:
        self.context = make_context(index, clock, world.service.preference)
        self.exchange = RunExchange()
        member = make_member(
            index, OLD, world.service.slots, MemberStatus.ALIVE, 0
        )
        store = MoveStore(self.context, table)
        self.monitor = MoveMonitor(
            self.context,
            store,
            self.exchange,  # type: ignore[arg-type]
            RunMembership(member),
        )
        self.coordinator = MoveCoordinator(self.context, store, self.monitor)
        self.service = MoveService(self.context, store, self.monitor)

    def spread(self) -> list[Fact]:
        """Return the facts on moves."""
        return [
            fact
            for fact in self.context.facts
            if isinstance(fact, MoveFact | StopFact)
        ]


class PolicyRun:
    """A move from its request until some time after its deadline.

    Parameters
    ----------
    world
        The service.
    faults
        What fails.
    record
        What came of the move.
    """

    def __init__(self, world: World, faults: Faults, record: Record) -> None:
        self._world = world
        self._faults = faults
        self._record = record
        self._meter = Meter(world, record)
        self._clock = ManualClock()
        self._table = RunTable()
        self._nodes = [
            RunNode(index, world, self._clock, self._table)
            for index in range(len(faults.pauses))
        ]
        self._facts = FactStore()
        self._routing = TrafficSplitTable(self._facts)
        self._lying: bool | None = None

    def run(self) -> None:
        """Carry the move."""
        self._tell_members(0)
        node = self._nodes[0]
        node.monitor.observe()
        deadline = self._clock.now() + dt.timedelta(seconds=DURATION_S)
        request = MoveRequest(SERVICE, NEW, deadline, 'operator', 'move')
        finish_now(node.service.request(request))
        for time_s in range(0, DURATION_S + AFTER_S, TICK_S):
            self._tick(time_s)
            if self._is_over(time_s):
                break
        self._record.broken = self._check()

    def _tick(self, time_s: int) -> None:
        share = self._share()
        old, new = self._world.draw(time_s, share)
        self._meter.count(time_s, share, old, new)
        self._clock.advance(TICK)
        self._table.down = _within(time_s, self._faults.outages)
        self._table.loses = self._happens(self._faults.lost_answers)
        self._tell_members(time_s)
        for node, pauses in zip(self._nodes, self._faults.pauses, strict=True):
            self._hand_over(node, old, new)
            if _within(time_s, pauses):
                continue
            node.monitor.observe()
            self._note_stop(node, time_s)
            finish_now(node.coordinator.poll())
        self._gossip()
        self._note(time_s)

    def _share(self) -> int:
        split = self._routing.find(SERVICE)
        if split is None or self._lying:
            return 0
        return _share_of_new(split)

    def _hand_over(self, node: RunNode, old: Window, new: Window) -> None:
        lost = LOST_WINDOWS if self._faults.lost else 0
        kept = {
            version: window
            for version, window in ((OLD, old), (NEW, new))
            if not self._happens(lost)
        }
        node.exchange.windows.append(kept)

    def _gossip(self) -> None:
        facts = [fact for node in self._nodes for fact in node.spread()]
        for store in (
            self._facts,
            *(node.context.facts for node in self._nodes),
        ):
            store.merge(
                fact for fact in facts if not self._happens(self._faults.lost)
            )

    def _tell_members(self, time_s: float) -> None:
        lying = self._world.is_lying(time_s)
        if lying is self._lying:
            return
        self._lying = lying
        status = MemberStatus.DEAD if lying else MemberStatus.ALIVE
        servers = self._world.service.servers
        slots = self._world.service.slots
        for node in self._nodes:
            for index in range(servers):
                node.context.facts.merge((
                    make_member(index, OLD, slots, MemberStatus.ALIVE, 0),
                    make_member(
                        servers + index, NEW, slots, status, int(time_s)
                    ),
                ))

    def _note_stop(self, node: RunNode, time_s: int) -> None:
        stops = node.context.facts.select(StopFact)
        if stops and self._record.decided_s is None:
            self._record.decided_s = time_s + TICK_S

    def _note(self, time_s: int) -> None:
        record = self._record
        split = self._routing.find(SERVICE)
        if split is None:
            return
        now_s = time_s + TICK_S
        if _share_of_new(split) == 0 and _is_back(split):
            record.back_s = _first(record.back_s, now_s)
        elif split.state is MoveState.DONE and split.new == NEW:
            record.done_s = _first(record.done_s, now_s)

    def _is_over(self, time_s: int) -> bool:
        record = self._record
        if record.back_s is not None:
            return time_s > record.back_s + 30 and not self._table.down
        return record.done_s is not None and time_s >= DURATION_S

    def _check(self) -> str:
        """Return the broken invariant, if any."""
        history = self._table.history
        final = {
            (row.move, row.state)
            for row in history
            if row.state is not MoveState.MOVING
        }
        if len(final) != len({move for move, _ in final}):
            return 'done and withdrawn'
        epochs = [row.epoch for row in history]
        if epochs != sorted(epochs):
            return 'epoch fell'
        if self._record.late_calls:
            return 'calls after the decision'
        return ''

    def _happens(self, chance: float) -> bool:
        return chance > 0 and self._world.source.random() < chance


def _share_of_new(split: TrafficSplit) -> int:
    if split.new == NEW:
        return split.new_share
    return FULL_SHARE - split.new_share


def _first(known_s: float | None, now_s: float) -> float:
    return now_s if known_s is None else known_s


def _is_back(split: TrafficSplit) -> bool:
    if split.new == NEW:
        return split.stopped or split.state is MoveState.WITHDRAWN
    return split.old_stopped or split.state is MoveState.DONE


def _within(time_s: float, spans: tuple[_Span, ...]) -> bool:
    return any(begin <= time_s < end for begin, end in spans)


def _draw_times(source: Random, count: int) -> list[float]:
    return sorted(source.uniform(0, DURATION_S) for _ in range(count))
