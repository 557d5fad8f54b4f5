"""``bluebell status``: show the mesh as a node sees it."""

import datetime as dt
from typing import Annotated

import typer

from bluebellslip._internal.cli.base_command import Command
from bluebellslip._internal.cli.exit_codes import SUCCESS
from bluebellslip._internal.cli.formatting import (
    describe_move,
    describe_nodes,
    format_count,
)
from bluebellslip._internal.cli.progress import select_service
from bluebellslip._internal.models.views import PlatformView, StatusBody


class StatusCommand(Command):
    """Shows revisions, moves, draining nodes and the platform's state."""

    def run(
        self,
        service: Annotated[
            str | None,
            typer.Argument(help='Service whose move to show; default: all.'),
        ] = None,
    ) -> int:
        """Show the status."""
        status = select_service(
            self._client.get('/v1/status', StatusBody), service
        )
        text = describe_status(status, self._clock.now())
        self._console.show(status, text)
        return SUCCESS


def describe_status(status: StatusBody, now: dt.datetime) -> str:
    """Return the status of the mesh as text."""
    lines = [
        f'mesh {status.mesh}, as seen by node {status.node}',
        _format_revision(status),
        _format_holders(status),
        _format_platform(status.platform),
    ]
    lines += _format_section('moves', _list_moves(status, now))
    lines += _format_section('draining nodes', describe_nodes(status.draining))
    return '\n'.join(lines)


def _format_revision(status: StatusBody) -> str:
    if not status.ready:
        return 'no configuration is applied here yet: the node is not ready'
    newest = max(status.known_head, status.platform.head)
    if newest > status.revision:
        return f'revision {status.revision} here; {newest} is not applied yet'
    return f'revision {status.revision} is applied here'


def _format_holders(status: StatusBody) -> str:
    if not status.holders:
        return 'no nodes are known'
    parts = [
        f'{format_count(count, "node")} at revision {revision}'
        for revision, count in status.holders.items()
    ]
    return ', '.join(parts)


def _format_platform(platform: PlatformView) -> str:
    if platform.reachable:
        return 'the platform is reachable'
    return f'the platform is unreachable: {platform.detail}'


def _list_moves(status: StatusBody, now: dt.datetime) -> list[str]:
    return [line for move in status.moves for line in describe_move(move, now)]


def _format_section(title: str, lines: list[str]) -> list[str]:
    if not lines:
        return [f'{title}: none']
    return [f'{title}:', *(f'  {line}' for line in lines)]
