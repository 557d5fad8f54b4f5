"""``bluebell explain``: trace a request through the nodes' log files."""

from pathlib import Path
from typing import Annotated, Any, ClassVar, Final

import msgspec
import typer

from bluebellslip._internal.cli.base_command import Command
from bluebellslip._internal.cli.exit_codes import SUCCESS
from bluebellslip._internal.exceptions import MalformedError
from bluebellslip._internal.telemetry.request_trace import (
    LogLine,
    RequestTrace,
    build_request_trace,
)

_COMMON_FIELDS: Final = frozenset(('time', 'level', 'node', 'event', 'request'))
_ATTEMPTS_FIELD: Final = 'attempts'


class ExplainBody(msgspec.Struct, frozen=True):
    """The log lines about a request, and the cause of its failure."""

    request: str
    cause: str
    lines: tuple[dict[str, Any], ...]
    context: tuple[dict[str, Any], ...]
    left_out: int


class ExplainCommand(Command):
    """Reads log files of nodes without calling a node."""

    needs_node: ClassVar[bool] = False

    def run(
        self,
        request: Annotated[str, typer.Argument(help='Id of the request.')],
        files: Annotated[
            list[Path], typer.Argument(help='Log files of the nodes.')
        ],
    ) -> int:
        """Show the trace of the request."""
        trace = build_request_trace(request, _read_lines(files))
        body = ExplainBody(
            trace.request,
            trace.cause,
            tuple(dict(line.fields) for line in trace.lines),
            tuple(dict(line.fields) for line in trace.context),
            trace.left_out,
        )
        self._console.show(body, describe_trace(trace))
        return SUCCESS


def describe_trace(trace: RequestTrace) -> str:
    """Return the trace of a request as text."""
    parts = [f'{trace.request}: {trace.cause}']
    for line in trace.lines:
        parts.append(_describe_line(line))
        parts.extend(
            _describe_attempt(attempt)
            for attempt in line.fields.get(_ATTEMPTS_FIELD, ())
        )
    if trace.context:
        parts.append('shortly before, on the nodes involved:')
        parts.extend(map(_describe_line, trace.context))
    if trace.left_out:
        parts.append(f'{trace.left_out} lines are missing from these logs.')
    return '\n'.join(parts)


def _describe_line(line: LogLine) -> str:
    fields = ', '.join(
        f'{name} {value}'
        for name, value in line.fields.items()
        if name not in _COMMON_FIELDS and name != _ATTEMPTS_FIELD
    )
    return f'{line.time:%H:%M:%S.%f} {line.node} {line.event}: {fields}'


def _describe_attempt(attempt: dict[str, Any]) -> str:
    return (
        f'  sent to {attempt["server"]} ({attempt["version"]}) beside '
        f'{attempt["node"]} at {attempt["begun_ms"]} ms: load '
        f'{attempt["load"]} as reported {attempt["load_age_ms"]} ms before, '
        f'maximum wait {attempt["patience_ms"]} ms; '
        f'{attempt["outcome"]} after {attempt["spent_ms"]} ms'
    )


def _read_lines(files: list[Path]) -> list[str]:
    lines: list[str] = []
    for file in files:
        try:
            text = file.read_text(errors='replace')
        except OSError as error:
            raise MalformedError(
                'A log file cannot be read.',
                context={'file': str(file), 'found': error.strerror or ''},
                hint='Check the path and its permissions.',
            ) from error
        lines.extend(text.splitlines())
    return lines
