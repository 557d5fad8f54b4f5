"""The watch command ends once nothing is in progress.

Its exit code reports whether a move was withdrawn. Guards against a watch that
never ends, or that ends while a move is in progress or a node is behind.
"""

from collections.abc import Callable
from typing import Any

import pytest
from syrupy.assertion import SnapshotAssertion

from bluebellslip._internal.cli.base_command import Command
from bluebellslip._internal.cli.exit_codes import MOVE_WITHDRAWN, SUCCESS
from bluebellslip._internal.commands.status import StatusCommand
from bluebellslip._internal.commands.watch import WatchCommand
from bluebellslip._internal.exceptions import (
    DeadlineExceededError,
    NotFoundError,
)
from lib.command_runner import CommandRunner
from lib.mesh_views import make_move, make_status


def _make_moving_status(share: float) -> Any:
    return make_status(moves=(make_move(share=share),))


def _make_ended_status(state: str) -> Any:
    move = make_move(state=state, reason='failures on deposits')
    return make_status(holders={'7': 5}, moves=(move,))


@pytest.mark.parametrize(
    ('state', 'status'), [('done', SUCCESS), ('withdrawn', MOVE_WITHDRAWN)]
)
@pytest.mark.parametrize('service', [None, 'orders'])
def test_watch_tells_changes_until_the_end(
    state: str, status: int, service: str | None, snapshot: SnapshotAssertion
) -> None:
    statuses = [
        _make_moving_status(0.01),
        _make_moving_status(0.01),
        _make_moving_status(0.5),
        _make_ended_status(state),
    ]
    runner = CommandRunner({'/v1/status': statuses})
    assert runner.run(WatchCommand, service=service, timeout=None) == status
    assert runner.output.text == snapshot


def test_watch_of_the_mesh_overlooks_what_ended_before() -> None:
    runner = CommandRunner({'/v1/status': [_make_ended_status('withdrawn')]})
    assert runner.run(WatchCommand, service=None, timeout=None) == SUCCESS


def test_watch_waits_for_nodes_that_are_behind() -> None:
    behind = make_status(moves=(), holders={'6': 1, '7': 4})
    up_to_date = make_status(moves=(), holders={'7': 5})
    runner = CommandRunner({'/v1/status': [behind, up_to_date]})
    assert runner.run(WatchCommand, service=None, timeout=None) == SUCCESS
    assert runner.output.lines[-1] == 'revision 7: 5 of 5 nodes'


def test_watch_gives_up_at_its_timeout() -> None:
    runner = CommandRunner({'/v1/status': [_make_moving_status(0.5)]})
    with pytest.raises(DeadlineExceededError):
        runner.run(WatchCommand, service='orders', timeout='5m')
    # The runner's clock advances by a minute with each request.
    assert len(runner.transport.sent) == 6


@pytest.mark.parametrize('command', [WatchCommand, StatusCommand])
def test_service_without_a_move_is_not_found(
    command: Callable[..., Command],
) -> None:
    runner = CommandRunner({'/v1/status': [make_status()]})
    arguments = {'timeout': None} if command is WatchCommand else {}
    with pytest.raises(NotFoundError):
        runner.run(command, service='artwork', **arguments)  # type: ignore[arg-type]
