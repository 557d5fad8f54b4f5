"""``bluebell explain``: the story of a request, out of log files."""

from pathlib import Path
from typing import Annotated, Any, ClassVar, Final

import msgspec
import typer

from bluebellslip._internal.cli.base_command import Command
from bluebellslip._internal.cli.exit_codes import SUCCESS
from bluebellslip._internal.exceptions import MalformedError
from bluebellslip._internal.telemetry.story import Line, Story, tell_story

_COMMON_FIELDS: Final = frozenset(('time', 'level', 'node', 'event', 'request'))
_ATTEMPTS_FIELD: Final = 'attempts'


class ExplainBody(msgspec.Struct, frozen=True):
    """What the logs tell of a request."""

    request: str
    cause: str
    lines: tuple[dict[str, Any], ...]
    context: tuple[dict[str, Any], ...]
    left_out: int


class ExplainCommand(Command):
    """Reads log files of nodes, and needs no node for it."""

    needs_node: ClassVar[bool] = False

    def run(
        self,
        request: Annotated[str, typer.Argument(help='Id of the request.')],
        files: Annotated[
            list[Path], typer.Argument(help='Log files of the nodes.')
        ],
    ) -> int:
        """Tell the story of the request."""
        story = tell_story(request, _read_lines(files))
        body = ExplainBody(
            story.request,
            story.cause,
            tuple(dict(line.fields) for line in story.lines),
            tuple(dict(line.fields) for line in story.context),
            story.left_out,
        )
        self._console.show(body, describe_story(story))
        return SUCCESS


def describe_story(story: Story) -> str:
    """Return a story in words."""
    parts = [f'{story.request}: {story.cause}']
    for line in story.lines:
        parts.append(_describe_line(line))
        parts.extend(
            _describe_attempt(attempt)
            for attempt in line.fields.get(_ATTEMPTS_FIELD, ())
        )
    if story.context:
        parts.append('shortly before, on the nodes that took part:')
        parts.extend(map(_describe_line, story.context))
    if story.left_out:
        parts.append(f'{story.left_out} lines were left out of these logs.')
    return '\n'.join(parts)


def _describe_line(line: Line) -> str:
    fields = ', '.join(
        f'{name} {value}'
        for name, value in line.fields.items()
        if name not in _COMMON_FIELDS and name != _ATTEMPTS_FIELD
    )
    return f'{line.time:%H:%M:%S.%f} {line.node} {line.event}: {fields}'


def _describe_attempt(attempt: dict[str, Any]) -> str:
    return (
        f'  asked {attempt["server"]} ({attempt["version"]}) beside '
        f'{attempt["node"]} at {attempt["begun_ms"]} ms: load '
        f'{attempt["load"]} as told {attempt["load_age_ms"]} ms before, '
        f'patience {attempt["patience_ms"]} ms; '
        f'{attempt["outcome"]} after {attempt["spent_ms"]} ms'
    )


def _read_lines(files: list[Path]) -> list[str]:
    lines: list[str] = []
    for file in files:
        try:
            text = file.read_text(errors='replace')
        except OSError as error:
            raise MalformedError(
                'A log file can not be read.',
                context={'file': str(file), 'found': error.strerror or ''},
                hint='Check the path and its permissions.',
            ) from error
        lines.extend(text.splitlines())
    return lines
