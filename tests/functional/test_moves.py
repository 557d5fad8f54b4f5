"""Tests of moves between versions, on nodes with a simulated table and network.

They guard against bad versions that keep getting calls, moves to good versions
that do not complete, and two outcomes of one move. Such faults come from
outages of the table, lost datagrams and responses, coordinators that are killed
or frozen, and withdrawals by an operator during a write of the coordinator.
"""

import pytest

from bluebellslip._internal.exceptions import ErrorKind
from bluebellslip._internal.models.facts import FULL_SHARE, MoveState
from lib.moves import NEW, OLD, ORDERS, MoveMesh

pytestmark = pytest.mark.anyio


async def test_good_version_completes_by_its_deadline() -> None:
    mesh = MoveMesh()
    started = await mesh.nodes[0].service.request(mesh.make_request())
    assert started.is_ok()
    await mesh.run(600)
    assert mesh.stored_row.state is MoveState.DONE
    assert mesh.share == FULL_SHARE
    assert mesh.stored_row.renewed <= mesh.stored_row.deadline


async def test_failing_version_is_withdrawn_and_gets_no_calls() -> None:
    mesh = MoveMesh()
    mesh.new_failure_rate = 1
    await mesh.nodes[0].service.request(mesh.make_request())
    await mesh.run(30)
    assert mesh.share == 0
    assert mesh.stored_row.state is MoveState.WITHDRAWN
    assert 'fails more often' in mesh.stored_row.reason


async def test_slow_version_is_withdrawn() -> None:
    mesh = MoveMesh()
    mesh.new_latency_s = 0.05
    await mesh.nodes[0].service.request(mesh.make_request())
    await mesh.run(120)
    assert mesh.stored_row.state is MoveState.WITHDRAWN
    assert 'slower' in mesh.stored_row.reason


async def test_bad_version_is_stopped_while_the_table_is_down() -> None:
    mesh = MoveMesh()
    await mesh.nodes[0].service.request(mesh.make_request())
    await mesh.run(30)
    assert mesh.share > 0
    mesh.table.down = True
    mesh.new_failure_rate = 1
    await mesh.run(30)
    assert mesh.share == 0
    assert mesh.stored_row.state is MoveState.MOVING
    mesh.table.down = False
    await mesh.run(5)
    assert mesh.stored_row.state is MoveState.WITHDRAWN


async def test_another_node_takes_over_from_a_killed_coordinator() -> None:
    mesh = MoveMesh()
    await mesh.nodes[0].service.request(mesh.make_request())
    await mesh.run(5)
    steward, epoch = mesh.stored_row.steward, mesh.stored_row.epoch
    for node in mesh.nodes:
        if node.member_fact.node == steward:
            node.running = False
    await mesh.run(20)
    assert mesh.stored_row.steward != steward
    assert mesh.stored_row.epoch == epoch + 1


async def test_frozen_coordinator_can_not_write_after_its_lease() -> None:
    """Another node ends the move while the coordinator is frozen."""
    mesh = MoveMesh()
    await mesh.nodes[0].service.request(mesh.make_request())
    await mesh.run(5)
    frozen = next(
        node
        for node in mesh.nodes
        if node.member_fact.node == mesh.stored_row.steward
    )
    frozen.running = False
    mesh.new_failure_rate = 1
    await mesh.run(40)
    assert mesh.stored_row.state is MoveState.WITHDRAWN
    written = len(mesh.table.history)
    frozen.running = True
    await frozen.coordinator.poll()
    await mesh.run(30)
    assert len(mesh.table.history) == written


async def test_withdrawal_racing_completion_stores_only_one_outcome() -> None:
    """An operator withdraws the move during the coordinator's next write."""
    mesh = MoveMesh()
    await mesh.nodes[0].service.request(mesh.make_request())
    await mesh.run(514)  # shortly before the move completes
    assert mesh.stored_row.state is MoveState.MOVING
    results = []

    async def withdraw_during_write() -> None:
        results.append(
            await mesh.nodes[3].service.withdraw(ORDERS, 'bo', 'late')
        )

    while mesh.stored_row.state is MoveState.MOVING:
        mesh.table.before_transact = withdraw_during_write
        await mesh.run_second()
    states = {row.state for row in mesh.table.history}
    assert len(states & {MoveState.DONE, MoveState.WITHDRAWN}) == 1


async def test_lost_responses_create_one_move() -> None:
    mesh = MoveMesh()
    mesh.table.loses_responses = True
    started = await mesh.nodes[0].service.request(mesh.make_request())
    assert started.is_ok()
    retried = await mesh.nodes[1].service.request(mesh.make_request())
    assert retried.is_ok()
    assert len(mesh.table.history) == 1
    await mesh.run(600)
    assert mesh.stored_row.state is MoveState.DONE
    assert mesh.stored_row.move == 'one'


async def test_second_move_of_a_service_is_a_conflict() -> None:
    mesh = MoveMesh()
    await mesh.nodes[0].service.request(mesh.make_request())
    other = mesh.make_request(name='two', new=OLD)
    result = await mesh.nodes[1].service.request(other)
    assert result.error.kind is ErrorKind.CONFLICT


async def test_deadline_in_the_past_is_refused() -> None:
    mesh = MoveMesh()
    result = await mesh.nodes[0].service.request(mesh.make_request(-1))
    assert result.error.kind is ErrorKind.MALFORMED
    assert not mesh.table.rows


async def test_deadline_can_be_changed_without_a_second_move() -> None:
    mesh = MoveMesh()
    await mesh.nodes[0].service.request(mesh.make_request())
    later = mesh.make_request(30, name='later')
    result = await mesh.nodes[1].service.request(later)
    assert result.ok.deadline == later.deadline
    assert result.ok.move == 'one'


async def test_move_without_calls_exceeds_the_deadline_under_safety() -> None:
    mesh = MoveMesh()
    mesh.calls_per_second = 0
    await mesh.nodes[0].service.request(mesh.make_request())
    await mesh.run(650)
    assert mesh.stored_row.state is MoveState.MOVING
    assert 'Too few calls' in mesh.stored_row.reason


async def test_move_waits_at_zero_share_for_new_servers() -> None:
    mesh = MoveMesh(new_servers=0)
    await mesh.nodes[0].service.request(mesh.make_request())
    await mesh.run(60)
    assert mesh.share == 0
    assert 'No server of the new version' in mesh.stored_row.reason


async def run_until_done(mesh: MoveMesh) -> None:
    await mesh.nodes[0].service.request(mesh.make_request())
    while mesh.stored_row.state is MoveState.MOVING:
        await mesh.run_second()
    assert mesh.stored_row.state is MoveState.DONE


async def test_version_failing_after_completion_is_moved_back() -> None:
    mesh = MoveMesh()
    await run_until_done(mesh)
    completed_move = mesh.stored_row.move
    mesh.new_failure_rate = 0.5
    await mesh.run(60)
    assert mesh.stored_row.state is MoveState.DONE
    assert mesh.stored_row.new == OLD
    assert mesh.stored_row.returns == completed_move
    assert mesh.share == 0
    assert not any(
        row.move == completed_move and row.state is MoveState.WITHDRAWN
        for row in mesh.table.history
    )
    assert mesh.nodes[3].context.traffic_splits.is_stopped(ORDERS, NEW)
    assert not mesh.nodes[0].context.traffic_splits.is_stopped(ORDERS, OLD)


async def test_overload_after_completion_keeps_the_new_version() -> None:
    """Failures of both versions do not show that the new one is bad."""
    mesh = MoveMesh()
    await run_until_done(mesh)
    mesh.new_failure_rate = 0.5
    mesh.old_failure_rate = 0.5
    await mesh.run(200)
    mesh.new_failure_rate = 0
    mesh.old_failure_rate = 0
    await mesh.run(200)
    assert mesh.share == FULL_SHARE
    assert any(row.returns for row in mesh.table.history)
    assert not mesh.nodes[0].context.traffic_splits.is_stopped(ORDERS, OLD)


async def test_completed_version_is_stopped_while_the_table_is_down() -> None:
    """The table goes down after the move back to the old version starts."""
    mesh = MoveMesh()
    await run_until_done(mesh)
    mesh.new_failure_rate = 0.5
    while mesh.stored_row.returns is None:
        await mesh.run_second()
    mesh.table.down = True
    await mesh.run(60)
    assert mesh.share == 0
    mesh.table.down = False
    await mesh.run(3)
    assert mesh.stored_row.state is MoveState.DONE
    assert mesh.stored_row.new == OLD


async def test_lost_datagrams_do_not_hide_a_bad_version() -> None:
    mesh = MoveMesh()
    mesh.new_failure_rate = 1
    mesh.network.unreachable = {mesh.nodes[3].member_fact.peer}
    await mesh.nodes[0].service.request(mesh.make_request())
    await mesh.run(60)
    assert mesh.stored_row.state is MoveState.WITHDRAWN


async def test_operator_stops_a_version_while_the_table_is_down() -> None:
    mesh = MoveMesh()
    await mesh.nodes[0].service.request(mesh.make_request())
    await mesh.run(20)
    mesh.table.down = True
    result = await mesh.nodes[1].service.withdraw(ORDERS, 'bo', 'ugly')
    assert result.ok.stopped
    assert 'bo withdrew' in result.ok.reason
    await mesh.run(2)
    assert mesh.share == 0
    mesh.table.down = False
    await mesh.run(5)
    assert mesh.stored_row.state is MoveState.WITHDRAWN
    assert 'ugly' in mesh.stored_row.reason
