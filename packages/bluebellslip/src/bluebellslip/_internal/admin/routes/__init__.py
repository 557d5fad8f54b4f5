"""Routes of the administration API, which register themselves."""

from bluebellslip._internal.admin.routes import (
    audit,
    backend,
    config,
    health,
    metrics,
    moves,
    nodes,
    status,
)

__all__ = (
    'audit',
    'backend',
    'config',
    'health',
    'metrics',
    'moves',
    'nodes',
    'status',
)
