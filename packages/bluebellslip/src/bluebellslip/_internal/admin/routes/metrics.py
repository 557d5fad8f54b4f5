"""The route of the process's metrics."""

from expression import Ok

from bluebellslip._internal.admin.routing import (
    AdminCall,
    HandlerResult,
    admin_route,
)
from bluebellslip._internal.admin.tokens import Scope
from bluebellslip._internal.kernel.services import MetricsReader
from bluebellslip._internal.models.admin import RawBody


@admin_route('GET', '/v1/metrics', scope=Scope.READ)
async def get_metrics(call: AdminCall) -> HandlerResult:
    """Return the metrics in OpenTelemetry's JSON format."""
    return Ok(RawBody(raw=call.get_port(MetricsReader).read_json()))
