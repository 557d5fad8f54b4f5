"""Facts about the store's configuration, and requests that depend on them.

Guards against facts that name an older configuration than the store had, calls
to the store that grow with the number of nodes, and a lease that acts where
nobody asked for one.
"""

import asyncio
import datetime as dt
import logging
from random import Random
from unittest.mock import Mock

import msgspec
import pytest

from bluebellslip._internal.accounts.revocation_lease import ConfigFact
from bluebellslip._internal.control.lease_keeper import LeaseKeeper
from bluebellslip._internal.control.lease_renewal import (
    EXPIRED_READ_RATE,
    READ_RATE,
    LeaseRenewal,
)
from bluebellslip._internal.control.observed_store import (
    READING_INTERVAL,
    WATCH_SHARE,
    ObservedStore,
)
from bluebellslip._internal.control.ports import DesiredStateUpdate
from bluebellslip._internal.exceptions import (
    NotReadyError,
    PlatformDownError,
)
from bluebellslip._internal.fleet.beacons import ConfigFactBeacon
from bluebellslip._internal.fleet.peer_table import Peer
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.mesh.holder import ConfigHolder
from bluebellslip._internal.models.identity import NodeId
from bluebellslip._internal.models.mesh import ConfigRecord
from bluebellslip._internal.models.store_revisions import make_revision
from lib.accounts import make_account, make_config
from lib.fleet import SECOND, SERVER_ADDRESS, make_beacon
from lib.virtual_time import run_in_virtual_time

_REVOKE = 5 * SECOND
_WAIT = 4 * SECOND
_DEPOT = make_account('depot', 'k1')


def _update(
    time: float | None,
    revision: int | None = None,
    *,
    era: int = 1,
    is_snapshot: bool = False,
    readable: bool = True,
) -> DesiredStateUpdate:
    config = revision and ConfigRecord(make_config(revision, _DEPOT), b'')
    return DesiredStateUpdate(
        config or None,
        (),
        (),
        make_revision(era, 1),
        is_snapshot=is_snapshot,
        store_time=None if time is None else time * SECOND,
        has_unreadable_config=not readable,
    )


class _Source:
    """Answers with prepared updates."""

    def __init__(self) -> None:
        self.updates: list[DesiredStateUpdate] = []
        self.waits: list[dt.timedelta] = []

    async def read_desired_state(self) -> DesiredStateUpdate:
        return self.updates.pop(0)

    async def watch_desired_state(
        self, position: int, wait: dt.timedelta
    ) -> DesiredStateUpdate:
        self.waits.append(wait)
        return self.updates.pop(0)


class _Neighbours:
    """A peer table with live nodes of the same failure domain only."""

    def __init__(self, count: int) -> None:
        self.peers = [
            Peer(NodeId(f'peer-{number}'), SERVER_ADDRESS, 'a')
            for number in range(count)
        ]

    def select_alive(self, peers: list[Peer]) -> list[Peer]:
        return peers

    def is_remote(self, peer: Peer) -> bool:
        return False


class _Node:
    """The parts that keep the lease of a node."""

    def __init__(
        self,
        *,
        revoke: dt.timedelta | None = _REVOKE,
        accounts: bool = True,
        neighbours: int = 0,
        seed: int = 1,
    ) -> None:
        self.clock = ManualClock()
        self.clock.advance(1000 * SECOND)
        self.holder = ConfigHolder(Random(1))
        config = make_config(1, _DEPOT) if accounts else make_config(1)
        self.holder.offer(ConfigRecord(config, b''), 'test')
        self.counters = InMemoryCounters()
        self.broadcasts = Mock()
        self.keeper = LeaseKeeper(
            revoke, self.clock, self.holder, self.counters, self.broadcasts
        )
        self.source = _Source()
        self.store = ObservedStore(
            self.source, self.keeper, revoke or dt.timedelta()
        )
        self.renewal = LeaseRenewal(
            self.keeper,
            self.holder,
            _Neighbours(neighbours),  # type: ignore[arg-type]
            Random(seed),
            self.counters,
        )

    def observe(self, *updates: DesiredStateUpdate) -> ConfigFact | None:
        """Let the store answer; return the newest fact."""
        self.source.updates.extend(updates)

        async def run() -> None:
            for update in updates:
                if update.is_snapshot:
                    await self.store.read_desired_state()
                else:
                    await self.store.watch_desired_state(1, _WAIT)

        asyncio.run(run())
        return self.keeper.lease.newest_fact


def test_empty_watch_says_that_the_last_configuration_is_the_newest():
    assert _Node().observe(
        _update(10, 3, is_snapshot=True), _update(11)
    ) == ConfigFact(3, 11 * SECOND, 1)


def test_fact_names_the_configuration_of_the_store_not_the_one_held():
    assert _Node().observe(_update(10, 7)) == ConfigFact(7, 10 * SECOND, 1)


@pytest.mark.parametrize('is_snapshot', [True, False])
@pytest.mark.parametrize('earlier', [None, 5])
def test_unreadable_configuration_leaves_no_proof_for_the_one_before(
    is_snapshot, earlier
):
    """The lease was renewed from answers with a version nobody could read."""
    node = _Node()
    node.observe(_update(10, 1, is_snapshot=True))
    unreadable = _update(11, earlier, is_snapshot=is_snapshot, readable=False)
    fact = node.observe(unreadable, _update(12), _update(13))
    assert fact == ConfigFact(1, 10 * SECOND, 1)
    with pytest.raises(NotReadyError):
        node.keeper.check_final(1)
    node.clock.advance(_REVOKE)
    with pytest.raises(NotReadyError):
        node.keeper.check(1)
    assert node.observe(_update(16, 7)) == ConfigFact(7, 16 * SECOND, 1)


def test_removed_configuration_leaves_no_proof():
    node = _Node()
    fact = node.observe(
        _update(10, 3, is_snapshot=True),
        _update(11, is_snapshot=True),
        _update(12),
    )
    assert fact == ConfigFact(3, 10 * SECOND, 1)


def test_answer_is_no_fact_while_no_configuration_is_known():
    """The nodes may hold any configuration before an unreadable one."""
    node = _Node()
    assert node.observe(_update(11, is_snapshot=True)) is None
    # The clock is known all the same.
    assert node.keeper.lease.newest_reading is not None


def test_answer_without_the_clock_is_no_fact():
    assert _Node().observe(_update(None, 3, is_snapshot=True)) is None


def test_restored_store_may_have_an_older_configuration():
    node = _Node()
    fact = node.observe(
        _update(10, 3, is_snapshot=True), _update(5, 2, era=2, is_snapshot=True)
    )
    assert fact == ConfigFact(2, 5 * SECOND, 2)


def test_watches_are_short_only_where_a_lease_needs_them():
    for options in ({'revoke': None}, {'accounts': False}):
        node = _Node(**options)
        node.observe(_update(10, 1))
        assert node.source.waits == [_WAIT]


def test_one_watch_a_minute_reads_the_clock():
    """An answer that was held back bounds the clock too high."""
    node = _Node()
    node.observe(_update(10, 1), _update(11), _update(12))
    node.clock.advance(READING_INTERVAL)
    node.observe(_update(13), _update(14))
    short, zero = _REVOKE * WATCH_SHARE, dt.timedelta()
    assert node.source.waits == [zero, short, short, zero, short]


def test_keys_are_refused_when_the_facts_are_too_old(caplog):
    caplog.set_level(logging.INFO)
    node = _Node()
    node.observe(_update(10, 1))
    node.keeper.check(1)
    node.clock.suspend(_REVOKE)
    for _ in range(3):
        with pytest.raises(NotReadyError, match='removed lately'):
            node.keeper.check(1)
    node.observe(_update(15))
    node.keeper.check(1)
    events = [record.getMessage() for record in caplog.records]
    assert events[-2:] == ['lease_expired', 'lease_renewed']


@pytest.mark.parametrize('options', [{'revoke': None}, {'accounts': False}])
def test_nothing_is_refused_or_sent_where_no_lease_is_needed(options):
    node = _Node(**options)
    fact = ConfigFactBeacon(2, 10_000, 1)
    node.keeper.apply_beacon(
        msgspec.structs.replace(make_beacon('peer'), config_fact=fact)
    )
    node.keeper.check(1)
    node.keeper.check_final(1)
    assert node.keeper.make_beacon() is None
    assert not node.keeper.is_old


def test_fact_of_a_beacon_is_passed_on_as_it_came():
    node = _Node()
    fact = ConfigFactBeacon(2, 10_001, 1)
    node.keeper.apply_beacon(
        msgspec.structs.replace(make_beacon('peer'), config_fact=fact)
    )
    assert node.keeper.make_beacon() == fact
    with pytest.raises(NotReadyError):
        node.keeper.check_final(1)


def test_fact_that_saves_an_old_lease_is_sent_at_once():
    node = _Node()
    node.observe(_update(10, 1))
    node.broadcasts.reset_mock()
    node.observe(_update(10, 1))
    node.broadcasts.assert_not_called()
    node.clock.advance(0.6 * _REVOKE)
    node.observe(_update(13))
    node.broadcasts.assert_called_once()


class _Outage:
    """A store that refuses all reads, and counts them."""

    def __init__(self) -> None:
        self.reads = 0

    async def read_desired_state(self) -> DesiredStateUpdate:
        self.reads += 1
        raise PlatformDownError('down')

    async def watch_desired_state(
        self, position: int, wait: dt.timedelta
    ) -> DesiredStateUpdate:
        return await self.read_desired_state()


def _count_reads(nodes: int, *, age: dt.timedelta, seconds: float) -> int:
    """Return how often the nodes of a domain read a store in an outage."""
    outage = _Outage()

    async def run() -> None:
        async with asyncio.timeout(seconds), asyncio.TaskGroup() as group:
            for seed in range(nodes):
                node = _Node(neighbours=nodes - 1, seed=seed)
                node.keeper.apply_answer(
                    ConfigFact(1, 10 * SECOND, 1), node.keeper.now
                )
                node.clock.advance(age)
                node.renewal.connect(outage)
                group.create_task(node.renewal.run())

    with pytest.raises(TimeoutError):
        run_in_virtual_time(run)
    return outage.reads


def test_fresh_lease_costs_no_reads():
    assert _count_reads(5, age=2 * SECOND, seconds=60) == 0


@pytest.mark.parametrize('nodes', [3, 60])
def test_reads_do_not_grow_with_the_nodes_of_a_domain(nodes):
    seconds = 40
    running_out = _count_reads(nodes, age=3 * SECOND, seconds=seconds)
    expired = _count_reads(nodes, age=9 * SECOND, seconds=seconds)
    assert seconds * READ_RATE / 2 < running_out < seconds * READ_RATE * 3 / 2
    assert expired < seconds * EXPIRED_READ_RATE * 2


def test_read_before_the_lease_ends_renews_it():
    node = _Node()
    node.observe(_update(10, 1))
    node.clock.advance(0.6 * _REVOKE)
    node.source.updates.append(_update(13, 2, is_snapshot=True))
    node.renewal.connect(node.store)

    async def run() -> None:
        task = asyncio.create_task(node.renewal.run())
        await asyncio.sleep(1)
        task.cancel()

    run_in_virtual_time(run)
    assert node.holder.revision == 2
    assert not node.keeper.is_old
