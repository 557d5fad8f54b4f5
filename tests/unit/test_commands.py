"""Output and exit codes of the commands."""

from pathlib import Path

import msgspec
import pytest
from syrupy.assertion import SnapshotAssertion

from bluebellslip._internal.cli.exit_codes import (
    DIFFERENCES_FOUND,
    SUCCESS,
)
from bluebellslip._internal.cli.transport import (
    AdminRequest,
    AdminResponse,
    ResponseLostError,
)
from bluebellslip._internal.commands.apply import ApplyCommand
from bluebellslip._internal.commands.audit import AuditCommand
from bluebellslip._internal.commands.diff import DiffCommand
from bluebellslip._internal.commands.move import MoveCommand
from bluebellslip._internal.commands.nodes import NodesCommand
from bluebellslip._internal.commands.report import ReportCommand
from bluebellslip._internal.commands.status import StatusCommand
from bluebellslip._internal.commands.withdraw import WithdrawCommand
from bluebellslip._internal.exceptions import (
    OutcomeUnknownError,
)
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.models.admin import AppliedBody, ConfigBody
from bluebellslip._internal.models.config import Preference, RouteSpec
from bluebellslip._internal.models.views import (
    AuditBody,
    NodesBody,
    PlatformView,
)
from lib.admin_fakes import CapturedOutput, FakeTransport, make_client
from lib.command_runner import CommandRunner
from lib.mesh_views import (
    MINUTE,
    NOON,
    make_audit_rows,
    make_move,
    make_node,
    make_status,
)
from lib.snapshots import make_document


def _write_document(directory: Path, **fields: object) -> Path:
    document = msgspec.structs.replace(make_document(), **fields)
    file = directory / 'mesh.json5'
    file.write_bytes(msgspec.json.encode(document))
    return file


def test_status(snapshot: SnapshotAssertion) -> None:
    runner = CommandRunner({'/v1/status': [make_status()]})
    assert runner.run(StatusCommand) == SUCCESS
    assert runner.output.text == snapshot


def test_status_of_a_node_in_trouble(snapshot: SnapshotAssertion) -> None:
    status = make_status(
        ready=False,
        holders={},
        moves=(
            make_move(stopped=True, reason='failures on deposits'),
            make_move(service='artwork', state='done', evidence=()),
            make_move(
                service='storefront',
                forecast=NOON + 90 * MINUTE,
                evidence=(),
                reason='',
            ),
        ),
        draining=(),
        platform=PlatformView(reachable=False, detail='no response in time'),
    )
    runner = CommandRunner({'/v1/status': [status]})
    assert runner.run(StatusCommand) == SUCCESS
    assert runner.output.text == snapshot


def test_json_output_is_one_document() -> None:
    runner = CommandRunner({'/v1/status': [make_status()]}, as_json=True)
    runner.run(StatusCommand)
    status = msgspec.json.decode(runner.output.text)
    assert status['moves'][0]['evidence'][0]['new_calls'] == 300


def test_nodes(snapshot: SnapshotAssertion) -> None:
    nodes = (
        make_node('b-2', 'fd-b'),
        make_node('a-1'),
        msgspec.structs.replace(make_node('a-2'), service='', status='dead'),
    )
    runner = CommandRunner({'/v1/nodes': [NodesBody(nodes)]})
    assert runner.run(NodesCommand) == SUCCESS
    assert runner.output.text == snapshot


def test_audit(snapshot: SnapshotAssertion) -> None:
    runner = CommandRunner({'/v1/audit': [AuditBody(tuple(make_audit_rows()))]})
    assert runner.run(AuditCommand, limit=10) == SUCCESS
    assert runner.output.text == snapshot


def test_report_of_the_last_day(snapshot: SnapshotAssertion) -> None:
    runner = CommandRunner({'/v1/audit': [AuditBody(tuple(make_audit_rows()))]})
    runner.clock.advance(60 * MINUTE)
    assert runner.run(ReportCommand, day=None) == SUCCESS
    assert runner.output.text == snapshot


def test_diff(tmp_path: Path, snapshot: SnapshotAssertion) -> None:
    old = make_document()
    new_route = RouteSpec('stock', 'orders', '/stock', 'reads')
    reads = msgspec.structs.replace(old.classes[0], timeout='3s')
    file = _write_document(
        tmp_path,
        preference=Preference.DEADLINE,
        classes=(reads, old.classes[1]),
        routes=(old.routes[0], new_route),
    )
    runner = CommandRunner({'/v1/config': [ConfigBody(7, 'd7', old)]})
    assert (
        runner.run(DiffCommand, file=file, exit_code=True) == DIFFERENCES_FOUND
    )
    assert runner.output.text == snapshot


def test_diff_without_differences(tmp_path: Path) -> None:
    file = _write_document(tmp_path)
    runner = CommandRunner({
        '/v1/config': [ConfigBody(7, 'd7', make_document())]
    })
    assert runner.run(DiffCommand, file=file, exit_code=True) == SUCCESS
    assert runner.output.text == 'The file changes nothing of revision 7.'


@pytest.mark.parametrize(
    'applied',
    [
        AppliedBody(8, 'd8'),
        AppliedBody(8, 'd8', rebased=True),
        AppliedBody(8, 'd8', replayed=True),
    ],
)
def test_apply(
    tmp_path: Path, applied: AppliedBody, snapshot: SnapshotAssertion
) -> None:
    runner = CommandRunner({'/v1/config': [applied]})
    arguments = {'file': _write_document(tmp_path), 'base': 7, 'change': None}
    assert runner.run(ApplyCommand, **arguments) == SUCCESS
    assert runner.output.text == snapshot


def test_lost_change_is_told_with_its_id(tmp_path: Path) -> None:
    def lose(request: AdminRequest) -> AdminResponse:
        raise ResponseLostError('The response was lost.')

    client = make_client(FakeTransport(lose))
    command = ApplyCommand(CapturedOutput().console, client, ManualClock())
    with pytest.raises(OutcomeUnknownError, match='--change change-1:'):
        command.run(_write_document(tmp_path), change='change-1')


def test_move_and_withdraw(snapshot: SnapshotAssertion) -> None:
    withdrawn = make_move(state='withdrawn', reason='wrong branch', share=0)
    runner = CommandRunner({
        '/v1/moves/orders': [make_move(evidence=()), withdrawn]
    })
    runner.run(MoveCommand, service='orders', to='v2', by='30m', change=None)
    runner.run(WithdrawCommand, service='orders', reason='wrong branch')
    assert runner.output.text == snapshot
    sent = msgspec.json.decode(runner.transport.sent[0].body)
    assert sent['deadline'] == '2026-01-01T12:30:00Z'
    assert runner.transport.sent[1].target.endswith('?reason=wrong+branch')
