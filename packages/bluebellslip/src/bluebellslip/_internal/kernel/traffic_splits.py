"""Traffic splits between the versions of a service, for routing."""

import dataclasses

from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.models.facts import (
    FULL_SHARE,
    MoveFact,
    MoveState,
    StopFact,
)
from bluebellslip._internal.models.identity import (
    MoveId,
    ServiceName,
    VersionName,
)


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficSplit:
    """How a service's calls are split between two versions.

    ``share`` is the new version's share in basis points. ``stopped`` means
    that the new version gets no calls, whatever the share. ``returns`` names
    the completed move that ``move`` reverts, if any. ``old_stopped`` means
    that the completed move was stopped, so that the old version gets no calls
    unless ``stopped`` is set.
    """

    move: MoveId
    old: VersionName
    new: VersionName
    share: int
    state: MoveState
    stopped: bool
    returns: MoveId | None = None
    old_stopped: bool = False

    @property
    def new_share(self) -> int:
        """The new version's current share of the calls, in basis points."""
        if self.stopped or self.state is MoveState.WITHDRAWN:
            return 0
        if self.state is MoveState.DONE or self.old_stopped:
            return FULL_SHARE
        return self.share


class TrafficSplitTable:
    """The traffic split of every service, derived from move and stop facts.

    Parameters
    ----------
    facts
        Store that the move and stop facts come from.
    """

    def __init__(self, facts: FactStore) -> None:
        self._facts = facts
        self._splits: dict[ServiceName, TrafficSplit] = {}
        facts.subscribe(MoveFact, self._update_move)
        facts.subscribe(StopFact, self._update_stop)

    def find(self, service: ServiceName) -> TrafficSplit | None:
        """Return a service's traffic split, or None if it never had a move."""
        return self._splits.get(service)

    def is_stopped(self, service: ServiceName, version: VersionName) -> bool:
        """Return whether a version must not get new work."""
        split = self._splits.get(service)
        if split is None:
            return False
        if split.old == version:
            return split.old_stopped and not split.stopped
        if split.new != version:
            return False
        if split.returns is not None:
            # Withdrawing a return doesn't stop its new version, which was in
            # use before the completed move.
            return split.stopped
        return split.stopped or split.state is MoveState.WITHDRAWN

    def _update_move(self, fact: MoveFact) -> None:
        self._splits[fact.service] = TrafficSplit(
            move=fact.move,
            old=fact.old,
            new=fact.new,
            share=fact.share,
            state=fact.state,
            stopped=self._has_stop(fact.service, fact.move),
            returns=fact.returns,
            old_stopped=self._has_stop(fact.service, fact.returns),
        )

    def _has_stop(self, service: ServiceName, move: MoveId | None) -> bool:
        return self._facts.find(f'stop/{service}/{move}') is not None

    def _update_stop(self, fact: StopFact) -> None:
        split = self._splits.get(fact.service)
        if split is None:
            return
        if split.move == fact.move:
            split = dataclasses.replace(split, stopped=True)
        elif split.returns == fact.move:
            split = dataclasses.replace(split, old_stopped=True)
        self._splits[fact.service] = split
