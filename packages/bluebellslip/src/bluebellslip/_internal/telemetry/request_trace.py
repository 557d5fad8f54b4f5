"""The story of one request, out of the log lines of several nodes."""

import dataclasses
import datetime as dt
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final

import msgspec

# Events that may explain a failure, and how long before it they count.
_CONTEXT_EVENTS: Final = frozenset((
    'config_applied',
    'node_leaving',
    'node_stopped',
    'node_started',
    'server_state',
    'server_unreachable',
    'peer_silent',
    'rollout_bad',
    'rollout_state',
    'store_lost',
))
CONTEXT_WINDOW: Final = dt.timedelta(seconds=5)
_CAUSE_TEXTS: Final[Mapping[str, str]] = {
    'overloaded': 'refused under load; it did not run',
    'no-server': 'no server took it; it did not run',
    'draining': 'the servers were leaving; it did not run',
    'version-stopped': 'sent to a version that was withdrawn; it did not run',
    'not-ready': 'the node held no configuration yet; it did not run',
    'not-found': 'no route of the configuration in force takes it',
    'server-failed': 'lost with a server or its node; it may have run',
    'deadline-exceeded': 'its time ran out',
    'too-large': 'its body is over the bound',
    'malformed': 'it is no request that can be served',
}
_JSON_START: Final = '{'


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log."""

    time: dt.datetime
    node: str
    event: str
    fields: Mapping[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTrace:
    """What the logs tell of a request.

    Parameters
    ----------
    request
        Its id.
    cause
        Why it failed, or what is missing to say so.
    lines
        The lines about it, in the order of time.
    context
        Lines of the nodes that took part, shortly before.
    left_out
        Lines that the nodes did not write, so that some may be missing.
    """

    request: str
    cause: str
    lines: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    left_out: int


def parse_line(text: str) -> LogLine | None:
    """Return a line, or none if the text holds none.

    What stands before the first brace, such as a time, is left out.
    """
    begin = text.find(_JSON_START)
    if begin < 0:
        return None
    try:
        fields = msgspec.json.decode(text[begin:])
        time = dt.datetime.fromisoformat(fields['time'])
        return LogLine(time, fields['node'], fields['event'], fields)
    except (KeyError, TypeError, ValueError):
        # msgspec's errors are errors of value, too.
        return None


def build_request_trace(request: str, texts: Iterable[str]) -> RequestTrace:
    """Return what log lines tell of a request."""
    lines = [line for line in map(parse_line, texts) if line is not None]
    lines.sort(key=lambda line: line.time)
    own = tuple(line for line in lines if line.fields.get('request') == request)
    return RequestTrace(
        request=request,
        cause=_find_cause(own),
        lines=own,
        context=_find_context(own, lines),
        left_out=sum(
            line.fields.get('left_out', 0) + line.fields.get('dropped', 0)
            for line in lines
        ),
    )


def _find_cause(own: Sequence[LogLine]) -> str:
    for line in reversed(own):
        if line.event == 'request_served':
            return f'served: a server answered {line.fields["outcome"]}'
        if line.event == 'request_failed':
            return _describe_failure(line)
    if own:
        return 'the log of the node that took it from its caller is missing'
    return (
        'no line tells of it: it was served and is no part of the sample, '
        'its lines were left out, or the log of its node is missing'
    )


def _describe_failure(line: LogLine) -> str:
    reason = str(line.fields.get('reason'))
    cause = _CAUSE_TEXTS.get(reason, reason)
    attempts = line.fields.get('attempts') or []
    if reason == 'deadline-exceeded' and attempts:
        last = attempts[-1]
        return (
            f'{cause}, {last["spent_ms"]} ms of it with {last["server"]} '
            f'beside {last["node"]}'
        )
    return f'{cause}: {line.fields.get("detail")}'


def _find_context(
    own: Sequence[LogLine], lines: Sequence[LogLine]
) -> tuple[LogLine, ...]:
    if not own:
        return ()
    end = own[-1].time
    nodes = {line.node for line in own}
    for own_line in own:
        nodes.update(
            attempt['node'] for attempt in own_line.fields.get('attempts', ())
        )
    return tuple(
        line
        for line in lines
        if line.event in _CONTEXT_EVENTS
        and end - CONTEXT_WINDOW <= line.time <= end
        and not nodes.isdisjoint((line.node, line.fields.get('peer')))
    )
