"""Decides how long the keys of a configuration may be accepted.

A node that is cut off from the store can't know that a key was removed. Each
answer of the store is a fact: at a time of the store's clock, a configuration
was the newest. A node accepts keys while it has a fact that is younger than the
lease and whose configuration it has. A fact is true whichever way it came, so
it may be passed on and be late. Its age is measured with an upper bound of the
store's current clock, which errs towards an age that is too great.

Designed for some tens of facts a second and a check with each request; a check
looks at one fact in each of two eras of the store, unless the node is behind.
"""

import dataclasses
import datetime as dt
from typing import Final

# By how much a second of the store's clock may be longer than one of this
# node's. Quartz and time synchronization stay below half of this.
DRIFT: Final = 0.001
# By how much a time that the store reports may be off its clock. A store that
# gives a tenth of a second is off by half of that, in the bound and in a fact.
ROUNDING: Final = dt.timedelta(milliseconds=100)
# Part of the time allowed for a revocation that is kept in reserve.
MARGIN_SHARE: Final = 0.05
# Facts that are kept in an era; each is of another configuration. A node may be
# that many changes behind before it loses a fact that its configuration meets.
MAX_FACTS: Final = 32
# After the store came back from an older copy, the facts from before hold until
# they are too old, since their ages are by the clock that they belong to.
MAX_ERAS: Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigFact:
    """The newest configuration in the store at a time.

    Parameters
    ----------
    revision
        Its revision, or a later one.
    as_of
        The time, by the store's steady clock.
    era
        The store's era.
    """

    revision: int
    as_of: dt.timedelta
    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClockReading:
    """A reading of the store's clock, or an upper bound of it.

    Parameters
    ----------
    asked_at
        Time on this node's clock at which it was asked for.
    reading
        What was reported, which the clock showed then or later.
    """

    asked_at: dt.timedelta
    reading: dt.timedelta

    def estimate(self, now: dt.timedelta) -> dt.timedelta:
        """Return an upper bound of the store's clock at a time."""
        passed = (now - self.asked_at) * (1 + DRIFT)
        return self.reading + passed + ROUNDING


class RevocationLease:
    """Tells whether a configuration is known to be recent enough.

    All times called ``now`` or ``asked_at`` are of a clock that goes on while
    the instance is suspended.

    Parameters
    ----------
    revoke
        Time after which a removed key must not be accepted.
    """

    def __init__(self, revoke: dt.timedelta) -> None:
        self.duration = revoke * (1 - MARGIN_SHARE)
        self._eras: dict[int, _EraState] = {}

    @property
    def newest_fact(self) -> ConfigFact | None:
        """The newest fact of the latest era."""
        state = self._latest
        return state.facts[-1] if state is not None and state.facts else None

    @property
    def newest_reading(self) -> ClockReading | None:
        """The reading that bounds the store's clock in the latest era."""
        return None if self._latest is None else self._latest.reading

    def holds(self, revision: int, now: dt.timedelta) -> bool:
        """Return whether keys may be accepted by a configuration."""
        age = self.find_age(revision, now)
        return age is not None and age < self.duration

    def find_age(self, revision: int, now: dt.timedelta) -> dt.timedelta | None:
        """Return for how long a configuration may have been replaced.

        None if no fact says that it was the newest.
        """
        return min(
            (
                age
                for state in self._eras.values()
                if (age := state.find_age(revision, now)) is not None
            ),
            default=None,
        )

    def knows_newer(self, revision: int) -> bool:
        """Return whether a fact names a newer configuration."""
        fact = self.newest_fact
        return fact is not None and fact.revision > revision

    def find_bound(self, now: dt.timedelta) -> tuple[int, dt.timedelta] | None:
        """Return the latest era and an upper bound of its clock; or none."""
        reading = self.newest_reading
        if reading is None:
            return None
        return max(self._eras), reading.estimate(now)

    def apply_answer(
        self, fact: ConfigFact, asked_at: dt.timedelta, now: dt.timedelta
    ) -> None:
        """Apply an answer of the store itself."""
        state = self._get_era(fact.era)
        if state is None:
            return
        reading = state.reading
        if reading is not None and reading.estimate(now) < fact.as_of:
            # The store's clock was set; what was known by it is void.
            state.reset()
        state.tighten(ClockReading(asked_at, fact.as_of), now)
        state.add_own(fact, now)

    def apply_clock(
        self, era: int, reading: ClockReading, now: dt.timedelta
    ) -> None:
        """Apply the store's clock as an answer or a peer reports it."""
        state = self._get_era(era)
        if state is not None:
            state.tighten(reading, now)

    def apply_fact(self, fact: ConfigFact, now: dt.timedelta) -> None:
        """Apply a fact that another node has reported.

        A node of older code may take the configuration before for the newest if
        it can't read the newest one.
        """
        state = self._get_era(fact.era)
        if state is not None:
            state.add_report(fact, now)

    @property
    def _latest(self) -> '_EraState | None':
        return self._eras[max(self._eras)] if self._eras else None

    def _get_era(self, era: int) -> '_EraState | None':
        """Return the state of an era; none if it is too long ago."""
        if era not in self._eras:
            self._eras[era] = _EraState()
            if len(self._eras) > MAX_ERAS:
                self._eras.pop(min(self._eras))
        return self._eras.get(era)


class _EraState:
    """What is known by the store's clock in one of its eras.

    ``facts`` is ordered by time. Of two facts, the later one is of the newer
    configuration; otherwise it replaces the earlier one. ``own`` is the latest
    that the store itself has told this node.
    """

    def __init__(self) -> None:
        self.reading: ClockReading | None = None
        self.facts: list[ConfigFact] = []
        self.own: ConfigFact | None = None

    def find_age(self, revision: int, now: dt.timedelta) -> dt.timedelta | None:
        """Return the age of the newest fact that a configuration meets."""
        if self.reading is None:
            return None
        for fact in reversed(self.facts):
            if fact.revision <= revision:
                return self.reading.estimate(now) - fact.as_of
        return None

    def reset(self) -> None:
        """Forget everything."""
        self.reading = None
        self.facts = []
        self.own = None

    def tighten(self, reading: ClockReading, now: dt.timedelta) -> None:
        """Apply a reading if it gives a lower bound than the one so far."""
        bound = reading.estimate(now)
        if self.reading is None or bound <= self.reading.estimate(now):
            self.reading = reading
            # The store's clock was set back after these.
            self.facts = [fact for fact in self.facts if fact.as_of <= bound]

    def add_own(self, fact: ConfigFact, now: dt.timedelta) -> None:
        """Add a fact from an answer of the store."""
        if self.own is None or self.own.as_of <= fact.as_of:
            self.own = fact
        self._add(fact, now)

    def add_report(self, fact: ConfigFact, now: dt.timedelta) -> None:
        """Add a fact of another node.

        Revisions only rise, so of two facts one of which contradicts this, the
        one with the newer configuration is true, unless the store has told
        this node otherwise.
        """
        if self.own is not None and _contradicts(fact, self.own):
            return
        if any(_contradicts(known, fact) for known in self.facts):
            return
        if self._is_premature(fact, now):
            return
        self.facts = [
            known for known in self.facts if not _contradicts(fact, known)
        ]
        self._add(fact, now)

    def _is_premature(self, fact: ConfigFact, now: dt.timedelta) -> bool:
        reading = self.reading
        return reading is not None and reading.estimate(now) < fact.as_of

    def _add(self, fact: ConfigFact, now: dt.timedelta) -> None:
        """Add a fact, unless its time can't have come yet."""
        if self._is_premature(fact, now):
            return
        if any(_surpasses(known, fact) for known in self.facts):
            return
        facts = [known for known in self.facts if not _surpasses(fact, known)]
        facts.append(fact)
        facts.sort(key=lambda known: known.as_of)
        self.facts = facts[-MAX_FACTS:]


def _surpasses(fact: ConfigFact, other: ConfigFact) -> bool:
    """Return whether a fact is as late and asks for no newer configuration."""
    return fact.as_of >= other.as_of and fact.revision <= other.revision


def _contradicts(fact: ConfigFact, later: ConfigFact) -> bool:
    """Return whether a fact names a newer configuration than a later one."""
    return fact.as_of <= later.as_of and fact.revision > later.revision
