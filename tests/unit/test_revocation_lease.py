"""How long the keys of a configuration are accepted.

Guards against a removed key that is accepted too long, by a node that was cut
off, suspended or restarted, whose clock is slow, or that got facts late; and
against refusals on a node that the store has just answered.
"""

import dataclasses
import datetime as dt
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellslip._internal.accounts.revocation_lease import (
    DRIFT,
    MAX_FACTS,
    ROUNDING,
    ClockReading,
    ConfigFact,
    RevocationLease,
)
from bluebellslip._internal.kernel.clock import ManualClock
from lib.fleet import MS, SECOND

_REVOKE = 5 * SECOND
_START = 100 * SECOND


def _make_lease(*facts: ConfigFact) -> RevocationLease:
    """Return a lease for which the store's clock equals the node's."""
    lease = RevocationLease(_REVOKE)
    lease.apply_clock(1, ClockReading(_START, _START), _START)
    for fact in facts:
        lease.apply_fact(fact, fact.as_of)
    return lease


def _fact(revision: int, as_of: float = 100, era: int = 1) -> ConfigFact:
    return ConfigFact(revision, as_of * SECOND, era)


def test_nothing_is_accepted_without_a_fact_or_without_the_clock():
    lease = RevocationLease(_REVOKE)
    assert not lease.holds(1, _START)
    lease.apply_fact(_fact(1), _START)
    assert not lease.holds(1, _START)
    lease.apply_clock(1, ClockReading(_START, _START), _START)
    assert lease.holds(1, _START)


def test_lease_ends_before_the_time_allowed():
    lease = _make_lease(_fact(1))
    assert lease.holds(1, _START + 0.9 * _REVOKE)
    assert not lease.holds(1, _START + 0.94 * _REVOKE)


def test_newer_configuration_leaves_the_older_one_its_time():
    lease = _make_lease(_fact(1), _fact(2, 102))
    assert lease.holds(1, _START + 4 * SECOND)
    assert not lease.holds(1, _START + 5 * SECOND)
    assert lease.holds(2, _START + 5 * SECOND)
    assert lease.knows_newer(1)
    assert not lease.knows_newer(2)


def test_configuration_that_restores_a_key_is_used_at_once():
    """A node may hold a configuration before a fact names it."""
    assert _make_lease(_fact(1)).holds(2, _START)


def test_answer_that_took_long_makes_facts_older_not_younger():
    lease = RevocationLease(_REVOKE)
    lease.apply_answer(_fact(1), _START, _START + 2 * SECOND)
    assert lease.holds(1, _START + 4 * SECOND)
    assert not lease.holds(1, _START + 4.8 * SECOND)


def test_tightest_reading_of_the_clock_is_used():
    lease = _make_lease(_fact(1, 101))
    # Asked a second before the store answered.
    lease.apply_clock(1, ClockReading(_START, 101 * SECOND), 101 * SECOND)
    assert lease.holds(1, 105.6 * SECOND)


def test_fact_that_comes_late_counts_from_its_own_time():
    lease = _make_lease()
    lease.apply_fact(_fact(1), _START + 4.6 * SECOND)
    assert lease.holds(1, _START + 4.6 * SECOND)
    assert not lease.holds(1, _START + 4.7 * SECOND)


def test_older_fact_replaces_no_newer_one():
    lease = _make_lease(_fact(1, 104), _fact(1, 101))
    assert lease.newest_fact == _fact(1, 104)


@pytest.mark.parametrize('facts', [(0, 1), (1, 0)])
def test_report_of_an_older_configuration_renews_no_lease(facts):
    """A node of older code may not be able to read the newest one."""
    reports = (_fact(5), _fact(3, 103))
    lease = _make_lease(_fact(3, 99))
    for index in facts:
        lease.apply_fact(reports[index], _START + 3 * SECOND)
    assert not lease.holds(3, _START + 4 * SECOND)
    assert lease.holds(5, _START + 4 * SECOND)


def test_answer_of_the_store_corrects_a_report():
    lease = _make_lease(_fact(9))
    lease.apply_answer(_fact(3, 101), _START + SECOND, _START + SECOND)
    assert lease.holds(3, _START + 2 * SECOND)
    assert not lease.knows_newer(3)
    lease.apply_fact(_fact(9, 100.5), _START + 2 * SECOND)
    assert not lease.knows_newer(3)


def test_restored_store_starts_anew_while_earlier_facts_run_out():
    """Refusing until facts of the new era come would be an outage."""
    lease = _make_lease(_fact(3))
    lease.apply_fact(_fact(2, 7, era=2), _START + SECOND)
    assert lease.newest_fact == _fact(2, 7, era=2)
    assert lease.holds(3, _START + 4 * SECOND)
    assert not lease.holds(2, _START + 4 * SECOND)
    reading = ClockReading(_START + SECOND, 7 * SECOND)
    lease.apply_clock(2, reading, _START + SECOND)
    assert lease.holds(2, _START + 4 * SECOND)
    lease.apply_fact(_fact(1, 100), _START + 4 * SECOND)
    assert lease.newest_fact == _fact(2, 7, era=2)


@pytest.mark.parametrize('clock', [5, 1000])
def test_clock_that_was_set_voids_what_was_known_by_it(clock):
    """Facts from before would be accepted as if from the future, or never."""
    lease = _make_lease(_fact(1))
    now = _START + 3 * SECOND
    lease.apply_answer(_fact(2, clock), now, now)
    assert lease.newest_fact == _fact(2, clock)
    assert lease.find_age(2, now) == ROUNDING
    assert lease.find_age(1, now) is None


@pytest.mark.parametrize('digits', [1, 3])
def test_rounded_clock_neither_prolongs_a_lease_nor_voids_facts(digits):
    lease = RevocationLease(_REVOKE)
    random = Random(digits)
    time = 100.0
    lease.apply_answer(_fact(1, time), _START, _START)
    for _ in range(2000):
        time += random.choice((0.0001, 0.003, 0.7))
        fact = _fact(1, round(time, digits))
        if random.random() < 1 / 2:
            lease.apply_answer(fact, time * SECOND, (time + 0.001) * SECOND)
        else:
            lease.apply_fact(fact, (time + 0.001) * SECOND)
        assert lease.newest_fact == fact
        age = lease.find_age(1, (time + 0.001) * SECOND)
        assert age is not None
        assert age >= dt.timedelta()


def test_fact_from_the_future_is_ignored():
    lease = _make_lease(_fact(1))
    lease.apply_fact(_fact(1, 200), _START)
    assert not lease.holds(1, _START + _REVOKE)


def test_facts_of_many_configurations_are_bounded():
    lease = _make_lease(
        *(_fact(number, 100 + number / 100) for number in range(1, 200))
    )
    assert not lease.holds(199 - MAX_FACTS, _START + 2 * SECOND)
    assert lease.holds(200 - MAX_FACTS, _START + 2 * SECOND)


@dataclasses.dataclass
class _Message:
    """What one node sends to another, and when it was asked for."""

    sender: int
    recipient: int
    fact: ConfigFact | None
    bound: tuple[int, dt.timedelta] | None
    asked_at: dt.timedelta


class _Node:
    """A node whose clock runs fast or slow, and stands while suspended."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.clock = ManualClock()
        self.start()

    def start(self) -> None:
        """Start the process, which knows nothing of before."""
        self.lease = RevocationLease(_REVOKE)
        self.revision = 0

    @property
    def now(self) -> dt.timedelta:
        return self.clock.since_boot()


class _World:
    """A store and nodes; messages arrive late, twice or never."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.time = 1000 * SECOND
        # Time of the ack of each configuration; each removes a key.
        self.acks = [self.time]
        self.nodes = [
            _Node(1 + self.random.uniform(-0.9, 0.9) * DRIFT) for _ in range(4)
        ]
        self.pending: list[_Message] = []
        self.answers: list[tuple[int, ConfigFact, dt.timedelta]] = []
        self.accepted = 0
        self.has_path = [True for _ in self.nodes]

    @property
    def newest(self) -> int:
        return len(self.acks)

    def step(self) -> None:
        """Do one thing at random and check all nodes."""
        self.pass_time()
        self.random.choice((
            self.write,
            self.ask_store,
            self.ask_store,
            self.receive_answer,
            self.receive_answer,
            self.send,
            self.send,
            self.receive,
            self.receive,
            self.receive,
            self.fetch,
            self.cut,
            self.suspend,
            self.restart,
        ))()
        self.check()

    def pass_time(self) -> None:
        step = self.random.choice((1, 10, 30, 100, 300, 1500)) * MS
        self.time += step
        for node in self.nodes:
            node.clock.advance(step * node.rate)

    def write(self) -> None:
        if self.happens(5):
            self.acks.append(self.time)

    def happens(self, tenths: int) -> bool:
        return self.random.randrange(10) < tenths

    def pick(self) -> int:
        return self.random.randrange(len(self.nodes))

    def ask_store(self) -> None:
        """Send a request that the store answers at some time after it."""
        index = self.pick()
        if not self.has_path[index]:
            return
        asked_at = self.nodes[index].now
        if self.happens(5):
            self.pass_time()
        fact = ConfigFact(self.newest, self.time, 1)
        self.answers.append((index, fact, asked_at))

    def receive_answer(self) -> None:
        if not self.answers:
            return
        position = self.random.randrange(len(self.answers))
        index, fact, asked_at = self.answers.pop(position)
        node = self.nodes[index]
        if asked_at <= node.now:
            node.lease.apply_answer(fact, asked_at, node.now)
            node.revision = max(node.revision, fact.revision)

    def send(self) -> None:
        """Send what a node knows, as a beacon and as an answer of a peer."""
        sender, recipient = self.pick(), self.pick()
        node = self.nodes[sender]
        self.pending.append(
            _Message(
                sender,
                recipient,
                node.lease.newest_fact,
                node.lease.find_bound(node.now),
                self.nodes[recipient].now,
            )
        )

    def receive(self) -> None:
        if not self.pending:
            return
        message = self.random.choice(self.pending)
        if self.happens(7):
            self.pending.remove(message)
        node = self.nodes[message.recipient]
        if message.fact is not None:
            node.lease.apply_fact(message.fact, node.now)
        if message.bound is not None:
            era, bound = message.bound
            reading = ClockReading(message.asked_at, bound)
            node.lease.apply_clock(era, reading, node.now)

    def fetch(self) -> None:
        """Fetch the configuration of a peer."""
        node = self.nodes[self.pick()]
        node.revision = max(node.revision, self.nodes[self.pick()].revision)

    def cut(self) -> None:
        index = self.pick()
        self.has_path[index] = not self.has_path[index]

    def suspend(self) -> None:
        if self.happens(7):
            return
        step = self.random.choice((2, 20, 4000)) * SECOND
        self.time += step
        suspended = self.pick()
        for index, node in enumerate(self.nodes):
            if index == suspended:
                node.clock.suspend(step * node.rate)
            else:
                node.clock.advance(step * node.rate)

    def restart(self) -> None:
        if self.happens(5):
            return
        index = self.pick()
        self.nodes[index].start()
        self.pending = [
            message for message in self.pending if message.recipient != index
        ]
        self.answers = [answer for answer in self.answers if answer[0] != index]

    def check(self) -> None:
        for node in self.nodes:
            if not node.lease.holds(node.revision, node.now):
                continue
            self.accepted += 1
            removals = self.acks[node.revision :]
            assert all(self.time < ack + _REVOKE for ack in removals)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_no_key_is_accepted_after_its_time(seed):
    world = _World(seed)
    for _ in range(150):
        world.step()


def test_keys_are_accepted_in_the_worlds_of_the_test():
    """A lease that never holds would pass the other test."""
    accepted = 0
    for seed in range(20):
        world = _World(seed)
        for _ in range(150):
            world.step()
        accepted += world.accepted
    assert accepted > 1000
