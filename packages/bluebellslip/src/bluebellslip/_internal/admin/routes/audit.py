"""The route of the audit trail."""

from typing import Final

from expression import Ok

from bluebellslip._internal.admin.routing import (
    AdminCall,
    HandlerResult,
    admin_route,
)
from bluebellslip._internal.admin.tokens import Scope
from bluebellslip._internal.exceptions import MalformedError
from bluebellslip._internal.kernel.services import AuditTrail
from bluebellslip._internal.models.views import AuditBody

_DEFAULT_ROWS: Final = 50
_MAX_ROWS: Final = 5000


@admin_route('GET', '/v1/audit', scope=Scope.READ)
async def get_audit(call: AdminCall) -> HandlerResult:
    """Return the newest rows, at most ``limit`` of them, newest first."""
    limit = parse_limit(call.query.get('limit', str(_DEFAULT_ROWS)))
    rows = await call.get_port(AuditTrail).recent(limit)
    return Ok(AuditBody(rows=rows))


def parse_limit(text: str) -> int:
    """Parse the maximum number of rows.

    Raises
    ------
    MalformedError
        If the text is not a number within the allowed range.
    """
    if text.isascii() and text.isdecimal() and 1 <= int(text) <= _MAX_ROWS:
        return int(text)
    raise MalformedError(
        'The number of rows is out of range or not a number.',
        context={'path': 'limit', 'found': text[:_MAX_SHOWN_CHARS]},
        hint=f'Use a number from 1 to {_MAX_ROWS}.',
    )


_MAX_SHOWN_CHARS: Final = 40
