"""The route of the mesh's status as seen by this node."""

import collections
import datetime as dt
from typing import Final

import anyio
import msgspec
from expression import Ok

from bluebellslip._internal.admin.routing import (
    AdminCall,
    HandlerResult,
    admin_route,
)
from bluebellslip._internal.admin.tokens import Scope
from bluebellslip._internal.admin.views import make_move_view, make_node_view
from bluebellslip._internal.exceptions import BluebellError, NotFoundError
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.ports import TableService
from bluebellslip._internal.kernel.services import Moves
from bluebellslip._internal.models.facts import MemberFact, MemberStatus
from bluebellslip._internal.models.rows import HEAD_KEY, HeadRow
from bluebellslip._internal.models.views import (
    MoveView,
    PlatformView,
    StatusBody,
)
from bluebellslip._internal.telemetry.gauges import find_head_revision
from bluebellslip._internal.utils.decoding import DECODING_ERRORS

_PROBE_TIMEOUT: Final = dt.timedelta(seconds=1)


@admin_route('GET', '/v1/status', scope=Scope.READ)
async def get_status(call: AdminCall) -> HandlerResult:
    """Return revisions, moves, draining nodes and the platform's state."""
    context = call.context
    members = context.facts.select(MemberFact)
    return Ok(
        StatusBody(
            node=context.node,
            mesh=context.settings.mesh,
            revision=context.applied.revision,
            ready=context.applied.current is not None,
            known_head=find_head_revision(context),
            holders=count_nodes_by_revision(members),
            moves=_list_moves(context),
            draining=tuple(
                make_node_view(member)
                for member in members
                if member.status is MemberStatus.DRAINING
            ),
            platform=await probe_platform(context),
        )
    )


def count_nodes_by_revision(members: tuple[MemberFact, ...]) -> dict[str, int]:
    """Count the members at each revision, leaving out dead members."""
    counts = collections.Counter(
        member.applied
        for member in members
        if member.status is not MemberStatus.DEAD
    )
    return {str(revision): counts[revision] for revision in sorted(counts)}


async def probe_platform(context: Context) -> PlatformView:
    """Read the newest revision from the platform's table within a timeout."""
    try:
        table = context.ports.get(TableService)
    except NotFoundError:
        return PlatformView(reachable=False, detail='not connected')
    try:
        with anyio.fail_after(_PROBE_TIMEOUT.total_seconds()):
            row = await table.read(HEAD_KEY)
    except (BluebellError, TimeoutError) as error:
        return PlatformView(
            reachable=False, detail=str(error) or 'no response in time'
        )
    if row is None:
        return PlatformView(reachable=True)
    try:
        head = msgspec.msgpack.decode(row.body, type=HeadRow)
    except DECODING_ERRORS as fault:
        return PlatformView(reachable=True, detail=f'head row: {fault}')
    return PlatformView(reachable=True, head=head.revision)


def _list_moves(context: Context) -> tuple[MoveView, ...]:
    try:
        moves = context.ports.get(Moves)
    except NotFoundError:
        return ()
    return tuple(map(make_move_view, moves.all_statuses()))
