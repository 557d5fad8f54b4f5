"""Process of ``bluebell-node``, a node that is assembled from plug-ins."""

import errno
import logging
from collections.abc import Sequence
from pathlib import Path
from random import SystemRandom
from typing import Final

import anyio

from bluebellslip._internal.exceptions import (
    BluebellError,
    ErrorKind,
    ListenError,
)
from bluebellslip._internal.kernel.clock import SystemClock
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.node import Node
from bluebellslip._internal.kernel.services import MetricsReader
from bluebellslip._internal.models.error_responses import ERROR_RESPONSES
from bluebellslip._internal.models.settings import NodeSettings
from bluebellslip._internal.nodes.loading import load_plugins
from bluebellslip._internal.nodes.settings import load_settings
from bluebellslip._internal.telemetry.counters import TelemetryCounters
from bluebellslip._internal.telemetry.gauges import register_gauges
from bluebellslip._internal.telemetry.logs import (
    add_node_fields,
    configure_logs,
)

logger = logging.getLogger(__name__)

_USAGE_EXIT_CODE: Final = 2
_ADDRESS_ERRNOS: Final = frozenset((errno.EADDRINUSE, errno.EADDRNOTAVAIL))


def run_node(arguments: Sequence[str]) -> int:
    """Run a node from a settings file and return the exit status."""
    handler = configure_logs()
    if len(arguments) != 1:
        logger.error('usage: bluebell-node SETTINGS')
        return _USAGE_EXIT_CODE
    try:
        context = build_context(load_settings(Path(arguments[0])))
    except BluebellError as error:
        return _report(error)
    add_node_fields(handler, context)
    load_plugins()
    try:
        anyio.run(_run_plugins, context)
    except BluebellError as error:
        return _report(error)
    except BaseExceptionGroup as group:
        return _report_group(group)
    return 0


async def _run_plugins(context: Context) -> None:
    # The plug-ins are built inside the event loop, because some libraries bind
    # their servers to the loop in which they are created.
    await Node.from_context(context).run()


def build_context(settings: NodeSettings) -> Context:
    """Build the shared state of a node process."""
    counters = TelemetryCounters.from_attributes(
        node=settings.node,
        mesh=settings.mesh,
        region=settings.region,
        failure_domain=settings.failure_domain,
    )
    context = Context.from_settings(
        settings, SystemClock(), SystemRandom(), counters
    )
    context.ports.provide(MetricsReader, counters)
    register_gauges(context)
    return context


def _report_group(group: BaseExceptionGroup[BaseException]) -> int:
    """Log a group of errors and return the exit status.

    Only the first error with an error kind is logged, or the whole group if
    there is none.
    """
    known_error = _find_known_error(group)
    if known_error is not None:
        return _report(known_error)
    logger.error('the node failed', exc_info=group)
    return ERROR_RESPONSES[ErrorKind.INTERNAL].exit_code


def _find_known_error(
    group: BaseExceptionGroup[BaseException],
) -> BluebellError | None:
    """Return the first error that has an error kind, or None.

    An ``OSError`` about an address that is in use or not available is returned
    as a ``ListenError``.
    """
    for member in group.exceptions:
        if isinstance(member, BluebellError):
            return member
        if isinstance(member, BaseExceptionGroup):
            return _find_known_error(member)
        if isinstance(member, OSError) and member.errno in _ADDRESS_ERRNOS:
            return ListenError(
                'The node cannot listen on an address of its settings.',
                context={'found': str(member)},
                hint='Free the address, or change the listen setting.',
            )
    return None


def _report(error: BluebellError) -> int:
    logger.error(
        '%s',
        error,
        extra={'kind': str(error.kind), 'context': error.context},
    )
    return ERROR_RESPONSES[error.kind].exit_code
