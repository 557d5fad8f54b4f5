"""The node's entry point."""

import logging
from collections.abc import Sequence
from pathlib import Path
from random import SystemRandom

import anyio

from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.kernel.clock import SystemClock
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.counters import Counters, NullCounters
from bluebellslip._internal.kernel.node import Node
from bluebellslip._internal.models.answers import ANSWERS
from bluebellslip._internal.models.settings import NodeSettings
from bluebellslip._internal.nodes.loading import load_plugins
from bluebellslip._internal.utils.jsonc import load_document

logger = logging.getLogger(__name__)

_USAGE_EXIT = 2


def run_node(arguments: Sequence[str]) -> int:
    """Run a node from a file of settings; return the exit status."""
    if len(arguments) != 1:
        logger.error('usage: bluebell-node SETTINGS')
        return _USAGE_EXIT
    try:
        settings = load_document(Path(arguments[0]), NodeSettings)
    except BluebellError as error:
        logger.error('%s', error)
        return ANSWERS[error.kind].exit_code
    load_plugins()
    context = Context.from_settings(
        settings, SystemClock(), SystemRandom(), build_counters()
    )
    anyio.run(Node.from_context(context).run)
    return 0


def build_counters() -> Counters:
    """Return the counters of the process."""
    return NullCounters()
