"""Routes of the administration API; importing a module registers its routes."""

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
