"""``bluebell config check``: check a file without a node."""

import enum
from pathlib import Path
from typing import Annotated, Any, ClassVar

import msgspec
import typer

from bluebellslip._internal.cli.base_command import Command
from bluebellslip._internal.cli.config_files import check_config
from bluebellslip._internal.cli.exit_codes import SUCCESS
from bluebellslip._internal.cli.formatting import format_count
from bluebellslip._internal.cli.stored_configs import check_stored_config
from bluebellslip._internal.models.config import ConfigDocument
from bluebellslip._internal.models.mesh_settings import MeshSettings
from bluebellslip._internal.models.settings import NodeSettings
from bluebellslip._internal.nodes.settings import (
    check_mesh_settings,
    check_settings,
)
from bluebellslip._internal.utils.documents import convert_tree
from bluebellslip._internal.utils.jsonc import parse_tree, read_text


@enum.unique
class FileKind(enum.StrEnum):
    """The kind of content of a file."""

    AUTO = 'auto'
    CONFIG = 'config'
    SETTINGS = 'settings'
    MESH_SETTINGS = 'mesh-settings'
    STORED_CONFIG = 'stored-config'


class CheckBody(msgspec.Struct, frozen=True):
    """The result for a valid file."""

    file: str
    kind: FileKind
    summary: str


class ConfigCheckCommand(Command):
    """Checks a configuration or settings file without calling a node."""

    needs_node: ClassVar[bool] = False

    def run(
        self,
        file: Annotated[Path, typer.Argument(help='File to check.')],
        kind: Annotated[
            FileKind, typer.Option(help='Kind of content of the file.')
        ] = FileKind.AUTO,
    ) -> int:
        """Check the file."""
        source = str(file)
        tree = parse_tree(read_text(file), source)
        found = detect_kind(tree) if kind is FileKind.AUTO else kind
        if found is FileKind.SETTINGS:
            summary = _check_settings(tree, source)
        elif found is FileKind.MESH_SETTINGS:
            summary = _check_mesh_settings(tree, source)
        elif found is FileKind.STORED_CONFIG:
            summary = _check_stored_config(tree, source)
        else:
            summary = _check_config(tree, source)
        body = CheckBody(source, found, summary)
        self._console.show(body, f'{source} is fine: {summary}.')
        return SUCCESS


def detect_kind(tree: Any) -> FileKind:
    """Return the kind of a file, detected from its top-level keys."""
    if 'store' in tree:
        return FileKind.MESH_SETTINGS
    if tree.keys() & {'node', 'listen', 'platform', 'peer_key', 'tokens'}:
        return FileKind.SETTINGS
    if {'version', 'limits'} <= tree.keys():
        return FileKind.STORED_CONFIG
    return FileKind.CONFIG


def _check_settings(tree: Any, source: str) -> str:
    settings = convert_tree(tree, NodeSettings, source)
    check_settings(settings, source)
    return f'settings of node {settings.node} in mesh {settings.mesh}'


def _check_mesh_settings(tree: Any, source: str) -> str:
    settings = convert_tree(tree, MeshSettings, source)
    check_mesh_settings(settings, source)
    return f'settings of node {settings.node} beside {settings.service}'


def _check_config(tree: Any, source: str) -> str:
    document = convert_tree(tree, ConfigDocument, source)
    check_config(document, source)
    counts = ', '.join((
        format_count(len(document.services), 'service'),
        format_count(len(document.routes), 'route'),
        f'classes: {len(document.classes)}',
    ))
    return f'configuration of mesh {document.mesh} with {counts}'


def _check_stored_config(tree: Any, source: str) -> str:
    config = check_stored_config(msgspec.json.encode(tree), source)
    counts = ', '.join((
        format_count(len(config.services), 'service'),
        format_count(len(config.routes), 'route'),
        format_count(len(config.accounts or ()), 'client account'),
    ))
    return f'stored configuration {config.revision} with {counts}'
