"""Commands by name; their modules are imported when they are used."""

import dataclasses
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

_PACKAGE: Final = 'bluebellslip._internal.commands'


@dataclasses.dataclass(frozen=True, slots=True)
class CommandEntry:
    """Where a command is found, and what it does in a line."""

    module: str
    class_name: str
    summary: str


def _make_entry(module: str, class_name: str, summary: str) -> CommandEntry:
    return CommandEntry(f'{_PACKAGE}.{module}', class_name, summary)


COMMANDS: Final[Mapping[str, CommandEntry]] = MappingProxyType({
    'apply': _make_entry(
        'apply', 'ApplyCommand', 'Put a configuration in force on the mesh.'
    ),
    'diff': _make_entry(
        'diff', 'DiffCommand', 'Show what a configuration would change.'
    ),
    'move': _make_entry(
        'move', 'MoveCommand', 'Have a service on a version by a time.'
    ),
    'withdraw': _make_entry(
        'withdraw', 'WithdrawCommand', 'Take the move of a service back.'
    ),
    'status': _make_entry(
        'status', 'StatusCommand', 'Show the mesh as a node sees it.'
    ),
    'watch': _make_entry(
        'watch', 'WatchCommand', 'Follow moves and revisions to their end.'
    ),
    'audit': _make_entry('audit', 'AuditCommand', 'Show what operators did.'),
    'report': _make_entry(
        'report', 'ReportCommand', 'Tell what happened on a day.'
    ),
    'nodes': _make_entry(
        'nodes', 'NodesCommand', 'List the nodes by their place.'
    ),
    'explain': _make_entry(
        'explain', 'ExplainCommand', 'Tell from logs why a request failed.'
    ),
    'config check': _make_entry(
        'config_check',
        'ConfigCheckCommand',
        'Check a configuration or node settings.',
    ),
})
