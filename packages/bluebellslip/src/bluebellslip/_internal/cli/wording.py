"""Times, shares and moves in plain words."""

import datetime as dt
from collections.abc import Iterable
from typing import Final

from bluebellslip._internal.models.views import EvidenceBody, MoveView, NodeView

_MINUTE: Final = 60
_HOUR: Final = 3600


def say_count(count: int, noun: str) -> str:
    """Return a count and its noun."""
    return f'{count} {noun}' if count == 1 else f'{count} {noun}s'


def say_time(moment: dt.datetime) -> str:
    """Return a time to the second, in UTC."""
    return f'{moment.astimezone(dt.UTC):%Y-%m-%d %H:%M:%S} UTC'


def say_duration(duration: dt.timedelta) -> str:
    """Return a duration in its two greatest units."""
    seconds = int(abs(duration.total_seconds()))
    if seconds < _MINUTE:
        return f'{seconds} s'
    if seconds < _HOUR:
        return f'{seconds // _MINUTE} min {seconds % _MINUTE} s'
    return f'{seconds // _HOUR} h {seconds % _HOUR // _MINUTE} min'


def say_share(share: float) -> str:
    """Return a share of calls in per cent."""
    return f'{share:.1%}'


def say_until(deadline: dt.datetime, now: dt.datetime) -> str:
    """Say how far a deadline is away."""
    if deadline >= now:
        return f'in {say_duration(deadline - now)}'
    return f'{say_duration(now - deadline)} ago'


def say_move(move: MoveView) -> str:
    """Return a move in one line."""
    path = f'{move.service}: {move.old} -> {move.new}'
    if move.state == 'done':
        return f'{path} is done'
    if move.state == 'withdrawn':
        return f'{path} was withdrawn: {move.reason or "no reason given"}'
    if move.stopped:
        return f'{path} is being taken back: {move.reason or "stopped"}'
    return f'{path} is at {say_share(move.share)} of calls'


def describe_move(move: MoveView, now: dt.datetime) -> list[str]:
    """Return a move with its deadline, forecast, reason and evidence."""
    until = say_until(move.deadline, now)
    lines = [say_move(move), f'  deadline {say_time(move.deadline)} ({until})']
    if move.state == 'moving' and not move.stopped:
        lines.append(f'  forecast {_say_forecast(move, now)}')
        if move.reason:
            lines.append(f'  because {move.reason}')
    lines += [
        f'  {_say_evidence(evidence)}'
        for evidence in move.evidence
        if evidence.old_calls or evidence.new_calls
    ]
    return lines


def describe_nodes(nodes: Iterable[NodeView]) -> list[str]:
    """Return nodes, one a line."""
    return [_describe_node(node) for node in nodes]


def _say_forecast(move: MoveView, now: dt.datetime) -> str:
    if move.forecast is None:
        return 'is not known yet'
    until = say_until(move.forecast, now)
    verdict = 'late' if move.forecast > move.deadline else 'in time'
    return f'{say_time(move.forecast)} ({until}, {verdict})'


def _say_evidence(evidence: EvidenceBody) -> str:
    old = _say_side(
        evidence.old_calls, evidence.old_failures, evidence.old_p99_ms
    )
    new = _say_side(
        evidence.new_calls, evidence.new_failures, evidence.new_p99_ms
    )
    return f'route {evidence.route}: new {new}; old {old}'


def _say_side(calls: int, failures: int, p99_ms: float) -> str:
    counted = f'{say_count(calls, "call")}, {failures} failed'
    return f'{counted}, p99 {p99_ms:g} ms' if calls else counted


def _describe_node(node: NodeView) -> str:
    line = f'{node.node} {node.status}, revision {node.applied}'
    return f'{line}{_say_backend(node)}'


def _say_backend(node: NodeView) -> str:
    if not node.service:
        return ''
    return f', beside {node.service} {node.version} at {node.backend}'
