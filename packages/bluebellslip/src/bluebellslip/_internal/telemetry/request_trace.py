"""Reconstructs one request from the log lines of several nodes."""

import dataclasses
import datetime as dt
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final

import msgspec

# Events that may explain a failure that follows within ``CONTEXT_WINDOW``.
_CONTEXT_EVENTS: Final = frozenset((
    'config_applied',
    'node_leaving',
    'node_stopped',
    'node_started',
    'server_state',
    'server_unreachable',
    'server_cold',
    'peer_silent',
    'peer_unresponsive',
    'rollout_bad',
    'rollout_state',
    'evacuation_began',
    'evacuation_ended',
    'store_lost',
))
CONTEXT_WINDOW: Final = dt.timedelta(seconds=5)
_CAUSE_TEXTS: Final[Mapping[str, str]] = {
    'overloaded': 'refused under load; it did not run',
    'no-server': 'no server accepted it; it did not run',
    'draining': 'a server or node was draining; it did not run',
    'version-stopped': 'sent to a stopped version; the request did not run',
    'evacuated': 'its servers are in an evacuated failure domain; it did not '
    'run',
    'not-ready': 'the node had no configuration; the request did not run',
    'not-found': 'no route of the applied configuration matches it',
    'server-failed': 'the server or its node failed; the request may have run',
    'deadline-exceeded': 'its deadline passed',
    'too-large': 'its body is over the size limit',
    'malformed': 'it is not a valid request',
}
_JSON_START: Final = '{'
_UPTIME: Final = 'uptime_s'


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log."""

    time: dt.datetime
    node: str
    event: str
    fields: Mapping[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTrace:
    """The log lines of a request and the cause of its failure.

    Parameters
    ----------
    request
        Its ID.
    cause
        Why it failed, that it was served, or why neither can be determined.
    lines
        The lines about it, ordered by time.
    context
        Earlier lines from or about the nodes involved that may explain the
        failure.
    left_out
        Number of log lines, about any request, that the nodes did not write:
        those over the rate limit and those dropped for a slow reader.
    """

    request: str
    cause: str
    lines: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    left_out: int


def parse_line(text: str) -> LogLine | None:
    """Return the log line in a text, or None if there is none.

    Text before the first brace, such as a timestamp, is ignored.
    """
    begin = text.find(_JSON_START)
    if begin < 0:
        return None
    try:
        fields = msgspec.json.decode(text[begin:])
        time = dt.datetime.fromisoformat(fields['time'])
        return LogLine(time, fields['node'], fields['event'], fields)
    except (KeyError, TypeError, ValueError):
        # The errors of msgspec are subclasses of ValueError.
        return None


def build_request_trace(request: str, texts: Iterable[str]) -> RequestTrace:
    """Build the trace of a request from log lines."""
    lines = [line for line in map(parse_line, texts) if line is not None]
    lines = _correct_times(lines)
    lines.sort(key=lambda line: line.time)
    request_lines = tuple(
        line for line in lines if line.fields.get('request') == request
    )
    return RequestTrace(
        request=request,
        cause=_find_cause(request_lines),
        lines=request_lines,
        context=_find_context(request_lines, lines),
        left_out=sum(
            line.fields.get('left_out', 0) + line.fields.get('dropped', 0)
            for line in lines
        ),
    )


def _correct_times(lines: Sequence[LogLine]) -> list[LogLine]:
    """Return the lines with times that no step of a clock has moved.

    All lines of a process get the offset that most of them have between the
    time of day and the steady clock.
    """
    return [
        line
        for process_lines in _group_by_process(lines)
        for line in _apply_common_offset(process_lines)
    ]


def _apply_common_offset(lines: Sequence[LogLine]) -> list[LogLine]:
    timed = [line for line in lines if _UPTIME in line.fields]
    begins = sorted(line.time - _read_uptime(line) for line in timed)
    if not begins:
        return list(lines)
    begin = begins[len(begins) // 2]
    return [
        dataclasses.replace(line, time=begin + _read_uptime(line))
        if _UPTIME in line.fields
        else line
        for line in lines
    ]


def _group_by_process(lines: Sequence[LogLine]) -> list[list[LogLine]]:
    """Group lines by node, and by its processes, whose uptime begins anew."""
    processes: list[list[LogLine]] = []
    latest: dict[str, list[LogLine]] = {}
    for line in lines:
        group = latest.get(line.node)
        if group is None or _read_uptime(line) < _read_uptime(group[-1]):
            group = []
            latest[line.node] = group
            processes.append(group)
        group.append(line)
    return processes


def _read_uptime(line: LogLine) -> dt.timedelta:
    return dt.timedelta(seconds=line.fields.get(_UPTIME, 0))


def _find_cause(request_lines: Sequence[LogLine]) -> str:
    for line in reversed(request_lines):
        if line.event == 'request_served':
            return f'served: a server responded with {line.fields["outcome"]}'
        if line.event == 'request_failed':
            return _describe_failure(line)
    if request_lines:
        return 'the log of the node that received it from its caller is missing'
    return (
        'no log line mentions it: it was served but not sampled, its lines '
        'were left out, or the log of its node is missing'
    )


def _describe_failure(line: LogLine) -> str:
    reason = str(line.fields.get('reason'))
    cause = _CAUSE_TEXTS.get(reason, reason)
    attempts = line.fields.get('attempts') or []
    if reason == 'deadline-exceeded' and attempts:
        last = attempts[-1]
        return (
            f'{cause}; its last attempt spent {last["spent_ms"]} ms at '
            f'{last["server"]} beside {last["node"]}'
        )
    return f'{cause}: {line.fields.get("detail")}'


def _find_context(
    request_lines: Sequence[LogLine], lines: Sequence[LogLine]
) -> tuple[LogLine, ...]:
    if not request_lines:
        return ()
    end = request_lines[-1].time
    nodes = {line.node for line in request_lines}
    for request_line in request_lines:
        nodes.update(
            attempt['node']
            for attempt in request_line.fields.get('attempts', ())
        )
    return tuple(
        line
        for line in lines
        if line.event in _CONTEXT_EVENTS
        and end - CONTEXT_WINDOW <= line.time <= end
        and not nodes.isdisjoint((line.node, line.fields.get('peer')))
    )
