"""The plug-in that accepts changes and keeps the audit trail."""

from typing import Self

import anyio
from anyio.abc import TaskStatus

from bluebellslip._internal.acceptance.acceptor import TableAcceptor
from bluebellslip._internal.acceptance.audit import TableAuditTrail
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.plugin import Plugin, Stage, plugins
from bluebellslip._internal.kernel.ports import ObjectStore, TableService
from bluebellslip._internal.kernel.services import (
    Acceptor,
    AuditTrail,
    Distribution,
)


@plugins.register('acceptance')
class AcceptancePlugin(Plugin):
    """Provides ``Acceptor`` and ``AuditTrail``."""

    stage = Stage.STATE

    @classmethod
    def from_context(cls, context: Context) -> Self:
        """Build and provide the acceptor and the audit trail."""
        ports = context.ports
        table = ports.get(TableService)
        audit = TableAuditTrail(table, context.random, context.counters)
        ports.provide(AuditTrail, audit)
        ports.provide(
            Acceptor,
            TableAcceptor(
                table,
                ports.get(ObjectStore),
                audit,
                ports.get(Distribution),
                context.clock,
                context.random,
                context.counters,
            ),
        )
        return cls()

    async def run(self, task_status: TaskStatus[None]) -> None:
        """Wait until cancelled; changes are handled in the callers' tasks."""
        task_status.started()
        await anyio.sleep_forever()
