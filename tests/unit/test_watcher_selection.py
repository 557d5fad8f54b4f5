"""Selection of the nodes that watch the store, and updates for the others.

Guards against a failure domain in which no node takes over from watchers that
fell silent or cannot reach the store, and against needless calls to the store.
"""

import asyncio
import dataclasses
import datetime as dt
import zlib
from random import Random
from typing import Any

import msgspec
import pytest

from bluebellslip._internal.control import desired_state as desired_state_module
from bluebellslip._internal.control import peer_config as peer_config_module
from bluebellslip._internal.control.desired_state import DesiredStateWatcher
from bluebellslip._internal.control.peer_config import PeerConfigSync
from bluebellslip._internal.control.ports import DesiredStateUpdate
from bluebellslip._internal.control.store_health import StoreHealth
from bluebellslip._internal.control.watcher_selection import (
    WATCHERS_PER_DOMAIN,
    WatcherSelection,
)
from bluebellslip._internal.exceptions import (
    PeerGarbledError,
    PlatformDownError,
)
from bluebellslip._internal.fleet.beacons import NodeState
from bluebellslip._internal.fleet.peer_table import SILENCE_TIMEOUT, PeerTable
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.mesh.config_news import ConfigNews
from bluebellslip._internal.mesh.holder import ConfigHolder
from bluebellslip._internal.models.identity import NodeId
from lib.fleet import MS, SECOND, make_beacon, make_config, make_rule

CONFIG_APPLY = 2 * SECOND
PATIENCE = CONFIG_APPLY * peer_config_module.PATIENCE_SHARE


def make_selection(
    clock: ManualClock,
) -> tuple[WatcherSelection, PeerTable, StoreHealth]:
    peer_table = PeerTable(clock, NodeId('n5'), 'a')
    health = StoreHealth()
    health.record_success(1)
    return WatcherSelection(peer_table, health), peer_table, health


def receive_beacon(
    peer_table: PeerTable, node: str, sequence: int = 1, **fields: Any
) -> None:
    fields = dict(fields)
    hears_store = fields.pop('hears_store', True)
    beacon = make_beacon(node, sequence, **fields)
    peer_table.apply_beacon(
        msgspec.structs.replace(beacon, can_reach_store=hears_store)
    )


def test_a_lone_node_watches_the_store() -> None:
    selection, _, _ = make_selection(ManualClock())
    assert selection.should_watch_store


def test_the_first_nodes_by_name_watch_the_store_for_their_domain() -> None:
    selection, peer_table, _ = make_selection(ManualClock())
    receive_beacon(peer_table, 'n1')
    receive_beacon(peer_table, 'n9')
    assert selection.should_watch_store
    receive_beacon(peer_table, 'n2')
    assert WATCHERS_PER_DOMAIN == 2
    assert not selection.should_watch_store


@pytest.mark.parametrize(
    'told',
    [{'hears_store': False}, {'domain': 'b'}, {'state': NodeState.LEAVING}],
)
def test_nodes_that_cannot_watch_the_store_do_not_count(
    told: dict[str, Any],
) -> None:
    selection, peer_table, _ = make_selection(ManualClock())
    receive_beacon(peer_table, 'n1')
    receive_beacon(peer_table, 'n2', **told)
    assert selection.should_watch_store


def test_the_next_node_replaces_a_silent_watcher() -> None:
    clock = ManualClock()
    selection, peer_table, _ = make_selection(clock)
    receive_beacon(peer_table, 'n1')
    receive_beacon(peer_table, 'n2')
    clock.advance(SILENCE_TIMEOUT + MS)
    receive_beacon(peer_table, 'n1', 2)
    assert selection.should_watch_store


def test_a_node_that_lost_the_store_keeps_watching_it() -> None:
    selection, peer_table, health = make_selection(ManualClock())
    receive_beacon(peer_table, 'n1')
    receive_beacon(peer_table, 'n2')
    health.record_failure(PlatformDownError('away'))
    assert selection.should_watch_store


class UnchangedStore:
    """Records watches; each returns at once and without changes."""

    def __init__(self) -> None:
        self.waits: list[dt.timedelta] = []

    async def read_desired_state(self) -> DesiredStateUpdate:
        return DesiredStateUpdate(None, (), (), 1)

    async def watch_desired_state(
        self, position: int, wait: dt.timedelta
    ) -> DesiredStateUpdate:
        self.waits.append(wait)
        await asyncio.sleep(0)
        return DesiredStateUpdate(None, (), (), position)


@pytest.mark.parametrize(
    ('is_selected', 'watches'), [(True, True), (False, False)]
)
def test_only_a_selected_node_keeps_watching(
    is_selected: bool, watches: bool
) -> None:
    store = UnchangedStore()

    async def run() -> None:
        watcher = DesiredStateWatcher(
            store,  # type: ignore[arg-type]
            Random(1),
            StoreHealth(),
            lambda: is_selected,
            lambda update: False,
        )
        task = asyncio.create_task(watcher.run())
        for _ in range(20):
            await asyncio.sleep(0)
        task.cancel()

    asyncio.run(run())
    assert bool(store.waits) is watches


class ChangingStore(UnchangedStore):
    """Returns a change for each read."""

    def __init__(self) -> None:
        super().__init__()
        self.reads = 0

    async def read_desired_state(self) -> DesiredStateUpdate:
        self.reads += 1
        return DesiredStateUpdate(None, (), (), self.reads)


def test_changes_in_quick_succession_are_read_together(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        desired_state_module, 'MIN_REQUEST_INTERVAL', dt.timedelta()
    )
    store = ChangingStore()
    applied: list[DesiredStateUpdate] = []

    def apply(update: DesiredStateUpdate) -> bool:
        applied.append(update)
        return len(applied) < 5

    async def run() -> None:
        watcher = DesiredStateWatcher(
            store,  # type: ignore[arg-type]
            Random(1),
            StoreHealth(),
            lambda: True,
            apply,
        )
        task = asyncio.create_task(watcher.run())
        while len(applied) < 6:
            await asyncio.sleep(0)
        task.cancel()

    asyncio.run(run())
    # A watch would return a row for every change. Once two changes came in
    # quick succession, the node reads until nothing is new, and only then
    # watches for later changes.
    assert store.reads == 4
    assert len(store.waits) == 2


class TestPeerConfigSync:
    """Choice of the peer, delay before a fetch, and compression."""

    def make_config_sync(
        self, *, watches_store: bool
    ) -> tuple[PeerConfigSync, PeerTable]:
        peer_table = PeerTable(ManualClock(), NodeId('n5'), 'a')
        holder = ConfigHolder(Random(1))
        holder.offer(make_config(make_rule(), revision=3), 'store')
        peer_config = PeerConfigSync(
            holder,
            peer_table,
            None,  # type: ignore[arg-type]
            lambda body: make_config(make_rule()),
            ConfigNews(ManualClock()),
            CONFIG_APPLY,
            Random(1),
            lambda: watches_store,
        )
        return peer_config, peer_table

    def choose_peers(
        self, peer_config: PeerConfigSync, lag: dt.timedelta
    ) -> list[str]:
        async def choose() -> list[str]:
            return [peer.node for peer in peer_config.choose_peers(lag)]

        return asyncio.run(choose())

    def test_a_newer_config_is_fetched_from_a_neighbour_at_once(self) -> None:
        peer_config, peer_table = self.make_config_sync(watches_store=False)
        receive_beacon(peer_table, 'n1', revision=4)
        assert self.choose_peers(peer_config, dt.timedelta()) == ['n1']

    def test_the_newest_configuration_is_fetched_first(self) -> None:
        """A step to an older one leaves the node behind for another step."""
        peer_config, peer_table = self.make_config_sync(watches_store=False)
        for number in range(1, 9):
            receive_beacon(peer_table, f'n{number}', revision=3 + number)
        chosen = self.choose_peers(peer_config, dt.timedelta())
        assert chosen[:2] == ['n8', 'n7']

    def test_a_remote_peer_is_used_when_neighbours_stay_behind_it(self) -> None:
        peer_config, peer_table = self.make_config_sync(watches_store=False)
        receive_beacon(peer_table, 'n1', revision=4)
        receive_beacon(peer_table, 'f1', revision=5, domain='b')
        assert self.choose_peers(peer_config, 200 * MS) == ['n1']
        assert self.choose_peers(peer_config, PATIENCE) == ['f1', 'n1']

    def test_a_watcher_waits_for_the_store_first(self) -> None:
        peer_config, peer_table = self.make_config_sync(watches_store=True)
        receive_beacon(peer_table, 'n1', revision=4)
        assert not self.choose_peers(peer_config, PATIENCE - MS)
        assert self.choose_peers(peer_config, PATIENCE) == ['n1']

    def test_a_remote_peer_is_used_when_no_neighbour_is_ahead(self) -> None:
        peer_config, peer_table = self.make_config_sync(watches_store=False)
        receive_beacon(peer_table, 'f1', revision=4, domain='b')
        assert not self.choose_peers(peer_config, PATIENCE - MS)
        assert self.choose_peers(peer_config, PATIENCE) == ['f1']

    def test_a_configuration_is_sent_compressed(self) -> None:
        peer_config, _ = self.make_config_sync(watches_store=True)
        body = b'{"routes":[%s]}' % (b'[1,2,3],' * 5000)
        record = dataclasses.replace(make_config(make_rule()), body=body)
        compressed = peer_config.compress(record)
        assert len(compressed) < len(body) / 10
        assert peer_config.compress(record) is compressed
        assert peer_config_module.decompress_config(compressed) == body

    @pytest.mark.parametrize(
        'corrupt_body', [b'', b'no zlib', zlib.compress(b'x')[:-2]]
    )
    def test_a_corrupt_configuration_is_refused(
        self, corrupt_body: bytes
    ) -> None:
        with pytest.raises(PeerGarbledError):
            peer_config_module.decompress_config(corrupt_body)
