"""The commands by name; a command's module is imported when needed."""

import dataclasses
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

_PACKAGE: Final = 'bluebellslip._internal.commands'


@dataclasses.dataclass(frozen=True, slots=True)
class CommandEntry:
    """The module and class of a command, and its summary in one line."""

    module: str
    class_name: str
    summary: str


def _make_entry(module: str, class_name: str, summary: str) -> CommandEntry:
    return CommandEntry(f'{_PACKAGE}.{module}', class_name, summary)


COMMANDS: Final[Mapping[str, CommandEntry]] = MappingProxyType({
    'apply': _make_entry(
        'apply', 'ApplyCommand', 'Apply a configuration to the mesh.'
    ),
    'diff': _make_entry(
        'diff', 'DiffCommand', 'Show what a configuration would change.'
    ),
    'move': _make_entry(
        'move', 'MoveCommand', 'Move a service to a version by a deadline.'
    ),
    'withdraw': _make_entry(
        'withdraw', 'WithdrawCommand', 'Withdraw the newest move of a service.'
    ),
    'status': _make_entry(
        'status', 'StatusCommand', 'Show the mesh as a node sees it.'
    ),
    'watch': _make_entry(
        'watch', 'WatchCommand', 'Follow moves and revisions until complete.'
    ),
    'audit': _make_entry('audit', 'AuditCommand', 'Show the audit trail.'),
    'report': _make_entry(
        'report', 'ReportCommand', 'Summarise the audit trail of a day.'
    ),
    'nodes': _make_entry(
        'nodes', 'NodesCommand', 'List the nodes by region and failure domain.'
    ),
    'explain': _make_entry(
        'explain', 'ExplainCommand', 'Show from logs why a request failed.'
    ),
    'config check': _make_entry(
        'config_check',
        'ConfigCheckCommand',
        'Check a configuration or settings file.',
    ),
})
