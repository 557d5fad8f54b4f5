"""The members that this node knows of."""

from expression import Ok

from bluebellslip._internal.admin.calls import (
    AdminCall,
    Answered,
    admin_route,
)
from bluebellslip._internal.admin.tokens import Scope
from bluebellslip._internal.admin.views import view_member
from bluebellslip._internal.models.facts import MemberFact
from bluebellslip._internal.models.views import NodesBody


@admin_route('GET', '/v1/nodes', scope=Scope.READ)
async def get_nodes(call: AdminCall) -> Answered:
    """Return all members, by region, failure domain and name."""
    members = sorted(
        call.context.facts.select(MemberFact),
        key=lambda member: (member.locality, member.node),
    )
    return Ok(NodesBody(nodes=tuple(map(view_member, members))))
