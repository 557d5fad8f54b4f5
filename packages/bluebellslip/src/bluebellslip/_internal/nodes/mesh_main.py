"""Process of a mesh node, which uses a platform through its adapter."""

import functools
import logging
from collections.abc import Callable
from pathlib import Path
from random import Random, SystemRandom
from typing import Final

import anyio

from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.kernel.clock import SystemClock
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.models.error_responses import ERROR_RESPONSES
from bluebellslip._internal.models.mesh_settings import MeshSettings
from bluebellslip._internal.nodes.environment import Adapter, NodeEnvironment
from bluebellslip._internal.nodes.mesh_node import run_mesh_node
from bluebellslip._internal.nodes.settings import load_mesh_settings
from bluebellslip._internal.telemetry.prometheus import PrometheusCounters
from bluebellslip._internal.telemetry.stdout_logs import configure_stdout_logs

logger = logging.getLogger(__name__)

_SEED_BITS: Final = 64


def run_mesh_process(
    path: Path,
    make_adapter: Callable[[MeshSettings, Counters], Adapter],
) -> int:
    """Run a node from a settings file and return the exit status."""
    # Log lines carry the file's name until the node's name is known.
    configure_stdout_logs(path.name)
    try:
        _run(path, make_adapter)
    except BluebellError as error:
        logger.error(
            'node_failed',
            extra={'kind': error.kind.value, 'reason': str(error)},
        )
        return ERROR_RESPONSES[error.kind].exit_code
    return 0


def _run(
    path: Path,
    make_adapter: Callable[[MeshSettings, Counters], Adapter],
) -> None:
    read_settings = functools.partial(load_mesh_settings, path)
    settings = read_settings()
    configure_stdout_logs(settings.node)
    counters = PrometheusCounters()
    environment = NodeEnvironment(
        SystemClock(),
        Random(SystemRandom().getrandbits(_SEED_BITS)),
        counters,
        counters.read_text,
    )
    adapter = make_adapter(settings, counters)
    anyio.run(run_mesh_node, settings, adapter, environment, read_settings)
