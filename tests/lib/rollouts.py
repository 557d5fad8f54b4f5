"""Replays of roll-outs: generated outcomes of two versions, seed by seed."""

import dataclasses
import datetime as dt
from random import Random

from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.ports import RequestStatus
from bluebellslip._internal.models.identity import (
    NodeId,
    RouteName,
    VersionName,
)
from bluebellslip._internal.models.rollouts import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from bluebellslip._internal.rollouts.outcome_recorder import (
    VersionOutcomeRecorder,
)
from bluebellslip._internal.rollouts.plan import RolloutAction
from bluebellslip._internal.rollouts.tracker import Rollout, RolloutTracker
from bluebellslip._internal.rollouts.version_selector import VersionSelector
from lib.fleet import MS, ORDERS, SECOND, make_endpoint

OLD = VersionName('v1')
NEW = VersionName('v2')
STEP = 50 * MS


@dataclasses.dataclass(frozen=True)
class Kind:
    """How a replayed service behaves.

    ``bad_share`` of the new version's requests fail, or take ``slow`` times
    as long, from ``bad_from`` seconds on, on the first route only if
    ``one_route``, and only while the new version has more than ``load`` of
    the requests. ``overload`` of all requests fail, whatever the version,
    in the middle of the roll-out; ``grey`` of those of one new server.
    """

    name: str
    bad_share: float = 0
    slow: float = 1
    bad_from: float = 0
    one_route: bool = False
    load: float = 0
    overload: float = 0
    grey: float = 0
    per_second: int = 280

    @property
    def is_good(self) -> bool:
        return self.bad_share == 0


GOOD_KINDS = (
    Kind('good'),
    Kind('good, common overload', overload=0.3),
    Kind('good, few requests', per_second=40),
    Kind('good, one grey server', grey=0.45),
)
BAD_KINDS = (
    Kind('fails at once', bad_share=0.34),
    Kind('fails in half', bad_share=0.5),
    Kind('slow', bad_share=0.5, slow=8),
    Kind('fails later', bad_share=0.5, bad_from=3),
    Kind('fails on one route', bad_share=0.5, one_route=True),
    Kind('fails under load', bad_share=0.5, load=0.3),
    Kind('fails while all are overloaded', bad_share=0.5, overload=0.2),
)


@dataclasses.dataclass
class Outcome:
    """What became of a replay."""

    state: RolloutState
    decided_after: float
    requests: int = 0
    new_requests: int = 0
    bad_answers: int = 0


class Replay:
    """One roll-out seen by one node that hears of all at once."""

    def __init__(self, kind: Kind, seed: int, duration: float = 15) -> None:
        self._kind = kind
        self._random = Random(seed)
        self._clock = ManualClock()
        self._duration = duration
        self._endpoints: list[Endpoint] = [
            make_endpoint(f'old-{index}', version=OLD) for index in range(5)
        ]
        self.tracker = RolloutTracker(
            self._clock, NodeId('me'), 1, 0.1, lambda service: self._endpoints
        )
        self.tracker.is_loaded = True
        self.rollout = self._order()
        self._versions = VersionSelector(self.tracker)
        self._outcome_recorder = VersionOutcomeRecorder(self.tracker)

    def run(self) -> Outcome:
        """Play until the outcome is decided or the time is over."""
        outcome = Outcome(RolloutState.RUNNING, self._duration)
        while self._clock.elapsed() < self._duration * SECOND:
            self._clock.advance(STEP)
            now = self._clock.elapsed()
            if now >= SECOND and len(self._endpoints) < 10:
                self._endpoints.extend(
                    make_endpoint(f'new-{index}', version=NEW)
                    for index in range(5)
                )
            self._play_step(outcome)
            step = self.decide(outcome)
            if step is not RolloutAction.HOLD:
                outcome.state = (
                    RolloutState.COMPLETED
                    if step is RolloutAction.COMPLETE
                    else RolloutState.ROLLED_BACK
                )
                outcome.decided_after = now.total_seconds()
                return outcome
        return outcome

    def decide(self, outcome: Outcome) -> RolloutAction:
        """Work the share out, and say what is to be done."""
        self.tracker.refresh()
        return self.tracker.decide(self.rollout)

    @property
    def now(self) -> dt.timedelta:
        """Time of the replay."""
        return self._clock.elapsed()

    @property
    def passed(self) -> float:
        """The part of the time that has passed."""
        return self._clock.elapsed() / (self._duration * SECOND)

    def _order(self) -> Rollout:
        order = RolloutOrder(ORDERS, NEW, self._duration * SECOND, 7)
        rollout = self.tracker.add_order(order, dt.timedelta())
        self.tracker.apply_status(
            RolloutStatus(ORDERS, NEW, RolloutState.RUNNING, 8)
        )
        return rollout

    def _play_step(self, outcome: Outcome) -> None:
        for _ in range(round(self._kind.per_second * STEP / SECOND)):
            for_target = self._versions.choose_target(ORDERS)
            chosen = self._random.choice(
                self._versions.select(
                    ORDERS, self._endpoints, for_target=for_target
                )
            )
            outcome.requests += 1
            outcome.new_requests += chosen.version == NEW
            self._answer(chosen, outcome)

    def _answer(self, endpoint: Endpoint, outcome: Outcome) -> None:
        kind, random = self._kind, self._random
        route = RouteName(random.choice(('r-1', 'r-2', 'r-2')))
        seconds = self._clock.elapsed().total_seconds()
        latency = 100 * MS * random.lognormvariate(0, 0.5)
        failed = random.random() < 0.004
        if 5 < seconds < 10 and random.random() < kind.overload:
            failed = True
        if endpoint.version == NEW and self._is_bad(route, seconds):
            if kind.slow > 1:
                latency *= kind.slow
            else:
                failed = True
            outcome.bad_answers += 1
        if endpoint.node == 'new-0' and random.random() < kind.grey:
            failed = True
        verdict = RequestStatus.FAILED if failed else RequestStatus.SUCCEEDED
        self._record(endpoint, route, verdict, latency)

    def _is_bad(self, route: RouteName, seconds: float) -> bool:
        kind = self._kind
        if seconds < 1 + kind.bad_from or self.rollout.share < kind.load:
            return False
        if kind.one_route and route != 'r-1':
            return False
        return self._random.random() < kind.bad_share

    def _record(
        self,
        endpoint: Endpoint,
        route: RouteName,
        verdict: RequestStatus,
        latency: dt.timedelta,
    ) -> None:
        """Count as the node beside the server would tell it."""
        self._outcome_recorder.record(
            ORDERS,
            endpoint.version,
            route,
            verdict,
            latency,
            is_warm=True,
            node=endpoint.node,
        )
