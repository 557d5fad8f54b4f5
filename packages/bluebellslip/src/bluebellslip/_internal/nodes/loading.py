"""Imports of the plug-ins, which register themselves."""

import importlib
from typing import Final

PLUGIN_MODULES: Final[tuple[str, ...]] = (
    'bluebellslip._internal.moves.plugin',
)


def load_plugins() -> None:
    """Import every module that registers a plug-in."""
    for module in PLUGIN_MODULES:
        importlib.import_module(module)
