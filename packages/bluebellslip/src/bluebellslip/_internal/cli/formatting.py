"""Formats times, shares, moves and nodes for display."""

import datetime as dt
from collections.abc import Iterable
from typing import Final

from bluebellslip._internal.models.views import EvidenceBody, MoveView, NodeView

_MINUTE_S: Final = 60
_HOUR_S: Final = 3600


def format_count(count: int, noun: str) -> str:
    """Return a count with its noun, in the plural if needed."""
    return f'{count} {noun}' if count == 1 else f'{count} {noun}s'


def format_time(moment: dt.datetime) -> str:
    """Return a time in UTC, to the second."""
    return f'{moment.astimezone(dt.UTC):%Y-%m-%d %H:%M:%S} UTC'


def format_duration(duration: dt.timedelta) -> str:
    """Return a duration in its two largest units."""
    seconds = int(abs(duration.total_seconds()))
    if seconds < _MINUTE_S:
        return f'{seconds} s'
    if seconds < _HOUR_S:
        return f'{seconds // _MINUTE_S} min {seconds % _MINUTE_S} s'
    return f'{seconds // _HOUR_S} h {seconds % _HOUR_S // _MINUTE_S} min'


def format_share(share: float) -> str:
    """Return a share of calls, from 0 to 1, as a percentage."""
    return f'{share:.1%}'


def format_relative_time(moment: dt.datetime, now: dt.datetime) -> str:
    """Return the time left until a moment, or since it passed."""
    if moment >= now:
        return f'in {format_duration(moment - now)}'
    return f'{format_duration(now - moment)} ago'


def format_move(move: MoveView) -> str:
    """Return the state of a move as one line."""
    transition = f'{move.service}: {move.old} -> {move.new}'
    if move.state == 'done':
        return f'{transition} is done'
    if move.state == 'withdrawn':
        return f'{transition} was withdrawn: {move.reason or "no reason given"}'
    if move.stopped:
        return f'{transition} is being rolled back: {move.reason or "stopped"}'
    return f'{transition} is at {format_share(move.share)} of calls'


def describe_move(move: MoveView, now: dt.datetime) -> list[str]:
    """Return lines with a move's state, deadline, forecast and evidence."""
    relative_time = format_relative_time(move.deadline, now)
    lines = [
        format_move(move),
        f'  deadline {format_time(move.deadline)} ({relative_time})',
    ]
    if move.state == 'moving' and not move.stopped:
        lines.append(f'  forecast {_format_forecast(move, now)}')
        if move.reason:
            lines.append(f'  because {move.reason}')
    lines += [
        f'  {_format_evidence(evidence)}'
        for evidence in move.evidence
        if evidence.old_calls or evidence.new_calls
    ]
    return lines


def describe_nodes(nodes: Iterable[NodeView]) -> list[str]:
    """Return one line for each node."""
    return [_describe_node(node) for node in nodes]


def _format_forecast(move: MoveView, now: dt.datetime) -> str:
    if move.forecast is None:
        return 'is not known yet'
    relative_time = format_relative_time(move.forecast, now)
    punctuality = 'late' if move.forecast > move.deadline else 'in time'
    return f'{format_time(move.forecast)} ({relative_time}, {punctuality})'


def _format_evidence(evidence: EvidenceBody) -> str:
    old = _format_outcomes(
        evidence.old_calls, evidence.old_failures, evidence.old_p99_ms
    )
    new = _format_outcomes(
        evidence.new_calls, evidence.new_failures, evidence.new_p99_ms
    )
    return f'route {evidence.route}: new {new}; old {old}'


def _format_outcomes(calls: int, failures: int, p99_ms: float) -> str:
    counted = f'{format_count(calls, "call")}, {failures} failed'
    return f'{counted}, p99 {p99_ms:g} ms' if calls else counted


def _describe_node(node: NodeView) -> str:
    line = f'{node.node} {node.status}, revision {node.applied}'
    return f'{line}{_format_backend(node)}'


def _format_backend(node: NodeView) -> str:
    if not node.service:
        return ''
    return f', beside {node.service} {node.version} at {node.backend}'
