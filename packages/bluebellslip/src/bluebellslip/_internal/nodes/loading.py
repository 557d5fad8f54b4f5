"""Imports the modules of the plug-ins, which register themselves."""

import importlib
from typing import Final

PLUGIN_MODULES: Final[tuple[str, ...]] = (
    'bluebellslip._internal.platform.plugin',
    'bluebellslip._internal.peers.plugin',
    'bluebellslip._internal.membership.plugin',
    'bluebellslip._internal.distribution.plugin',
    'bluebellslip._internal.acceptance.plugin',
    'bluebellslip._internal.moves.plugin',
    'bluebellslip._internal.calls.plugin',
    'bluebellslip._internal.admin.server',
)


def load_plugins() -> None:
    """Import every module that registers a plug-in."""
    for module in PLUGIN_MODULES:
        importlib.import_module(module)
