"""The log events of a mesh node: the meaning and the fields of each.

Every line is one JSON object with ``time``, ``uptime_s``, ``level``, ``node``
and ``event``; the fields listed here are added to these. ``time`` is the time
of day, which may be set; ``uptime_s`` is the steady time since the start of
the process, in seconds.
"""

import dataclasses
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One kind of log line.

    Parameters
    ----------
    meaning
        What happened.
    fields
        Names of its fields.
    """

    meaning: str
    fields: tuple[str, ...] = ()


_REQUEST: Final = (
    'request',
    'route',
    'service',
    'account',
    'revision',
    'outcome',
    'spent_ms',
    'time_left_ms',
    'from_retry',
    'budget',
    'attempts',
)
_ROLLOUT: Final = ('service', 'target', 'order', 'state', 'share')
_SERVER: Final = ('server', 'born', 'version', 'state', 'sequence')

EVENTS: Final[Mapping[str, Event]] = MappingProxyType({
    'node_started': Event('The node is listening and running.'),
    'node_leaving': Event(
        'The node was asked to stop and is draining.', ('grace_s',)
    ),
    'attempts_withdrawn': Event(
        'The node is about to stop and withdraws the requests that it has sent '
        'to other nodes, unless they are at a server.',
        ('peers', 'attempts'),
    ),
    'withdrawal_failed': Event(
        'Another node did not confirm a withdrawal; requests that wait there '
        'get 502, since they may run.',
        ('address', 'attempts', 'reason'),
    ),
    'node_stopped': Event(
        'The node has stopped, with this work undone: requests of callers and '
        'of other nodes without a complete response, requests that arrived on '
        'a connection being closed, connections of callers closed while idle, '
        'bytes of responses not sent.',
        ('callers', 'peers', 'ignored', 'closed_idle', 'unsent_bytes'),
    ),
    'node_failed': Event(
        'The node cannot start or continue.', ('kind', 'reason')
    ),
    'settings_reloaded': Event(
        'The settings were reloaded; some take effect after a restart.',
        ('needs_restart',),
    ),
    'settings_refused': Event(
        'Invalid settings; the previous ones stay.', ('kind', 'reason')
    ),
    'clock_stepped': Event(
        'The time of day was set by this many seconds while the node runs, or '
        'the instance was suspended; times of later log lines are moved.',
        ('step_s',),
    ),
    'store_lost': Event('The store does not respond.', ('reason',)),
    'store_regained': Event('The store responds again.', ('at',)),
    'orders_history_lost': Event(
        'The store dropped its change history; the desired state is read '
        'again in full.',
        ('at',),
    ),
    'store_restored': Event(
        'The store came back from an older copy; its later data are lost.',
        ('era', 'earlier'),
    ),
    'store_era_ignored': Event(
        'The store reported an era that is invalid or fell.',
        ('found', 'era'),
    ),
    'entry_failed': Event(
        'The node could not register itself or read the other nodes.',
        ('reason',),
    ),
    'departure_not_stored': Event(
        'A departure of the local server was acknowledged before it was '
        'stored; only peers know of it until the next attempt.',
        ('reason',),
    ),
    'row_skipped': Event(
        'A row of the store cannot be used and is skipped.',
        ('row', 'version', 'reason'),
    ),
    'config_applied': Event(
        'A configuration was applied, so long after the node first knew of it '
        'or a later one; the request for it took ``spent_ms``.',
        (
            'revision',
            'earlier',
            'source',
            'routes',
            'known_ms',
            'spent_ms',
        ),
    ),
    'config_entry_unusable': Event(
        'An entry of a configuration that was applied, or a part of it, cannot '
        'be used; the others are in force. ``of`` is the number of such '
        'problems in the configuration.',
        ('revision', 'problem', 'of'),
    ),
    'config_not_fetched': Event(
        'A newer configuration could not be fetched from a peer.',
        ('peer', 'reason', 'spent_ms'),
    ),
    'config_overdue': Event(
        'Requests are refused: live peers have had a newer configuration for '
        'almost the time allowed to apply it.',
        ('revision', 'newest', 'known_s'),
    ),
    'lease_expired': Event(
        'Requests with a key are refused: no fact tells that the configuration '
        'was the newest lately. ``newest`` is the newest configuration of the '
        'store that the node knows of.',
        ('revision', 'newest', 'age_s'),
    ),
    'lease_renewed': Event(
        'Requests with a key are accepted again.',
        ('revision', 'newest', 'age_s'),
    ),
    'server_ended_running': Event(
        'The local server ended while it ran requests; those that it had not '
        'completed before are suspected.',
        ('suspects', 'fingerprints'),
    ),
    'fatal_request_found': Event(
        'Several servers have ended under a request; it is refused from now '
        'on.',
        ('fingerprint',),
    ),
    'fatal_request_cleared': Event(
        'A suspected request has completed, so it is not the cause.',
        ('fingerprint',),
    ),
    'departure_recorded': Event(
        'A server that the node does not know has left; its delayed '
        'heartbeats will be ignored.',
        ('server',),
    ),
    'server_life_checked': Event(
        'The local server was asked by a health check whether it goes on, as '
        'the node has started and did not hear this run of it begin. It is '
        'not used while it says that it leaves or fails.',
        ('server', 'born', 'status', 'outcome'),
    ),
    'server_life_unconfirmed': Event(
        'A heartbeat of another run of the local server was received; the run '
        'is taken when it sends more while the current one sends none.',
        ('server', 'born', 'sequence'),
    ),
    'server_state': Event(
        'The local server changed its state or restarted.',
        _SERVER,
    ),
    'server_message': Event(
        'A message from the local server was received.',
        ('server', 'notice'),
    ),
    'server_limit': Event(
        'The local server named a limit in requests a second, changed it by '
        'more than a tenth, or ended it; the source is one of its responses, '
        'or a peer that remembers it.',
        ('server', 'limit', 'earlier', 'source'),
    ),
    'server_cold': Event(
        'The local server is cold or may be, and gets no more than ``rate`` '
        'requests a second. It says so in a heartbeat or the response to a '
        'health check, or the cause is that this is unknown: in a new life, '
        'after an evacuation, or after it was unreachable.',
        ('server', 'rate', 'cause'),
    ),
    'server_warm': Event('The local server is not cold any more.', ('server',)),
    'server_limit_ignored': Event(
        'The local server named a limit that is no decimal number; the '
        'earlier one stays.',
        ('server', 'found'),
    ),
    'server_load_differs': Event(
        'The local server reports more requests than this node has sent it; '
        'the difference counts as taken slots for a short time. At most one '
        'line in 10 s.',
        ('server', 'running', 'waiting', 'slots', 'in_use'),
    ),
    'peer_server_leaving': Event(
        'A response from the server beside another node says that it leaves.',
        ('peer', 'server'),
    ),
    'server_unreachable': Event(
        'Connections to the local server fail.', _SERVER
    ),
    'peer_heard': Event(
        'A beacon from a silent or new node was received.', ('peer',)
    ),
    'peer_silent': Event(
        'A node sends no more beacons; its server gets no new requests.',
        ('peer',),
    ),
    'peer_unresponsive': Event(
        'The instance of a silent node accepts no connection; the requests '
        'that wait there and may run again are ended.',
        ('peer', 'requests'),
    ),
    'node_life_raised': Event(
        'A peer knows an earlier life of this node, which goes on with a '
        'higher number.',
        ('peer', 'life'),
    ),
    'beacon_refused': Event('A beacon cannot be used.', ('peer', 'reason')),
    'request_served': Event(
        'A server responded to a request; only a sample of the requests '
        'served at the first attempt is logged. The decision of a failed '
        'attempt says whether the request was retried, or why not.',
        _REQUEST,
    ),
    'request_failed': Event(
        'A request got an error response from the node, or no response.',
        (*_REQUEST, 'reason', 'detail'),
    ),
    'request_unanswered': Event(
        'The caller of a request got no response; the outcome says why: it '
        'arrived on a connection that the node was closing (ignored), its '
        'caller left before it was started (caller-left-waiting), or left '
        'while the response waited for earlier ones (undelivered).',
        ('request', 'target', 'outcome'),
    ),
    'visit_failed': Event(
        'A request from a peer got no response from the local server.',
        (
            'request',
            'route',
            'server',
            'reason',
            'detail',
            'reached_server',
            'not_run',
            'in_use',
            'occupied',
            'waiting',
            'account',
        ),
    ),
    'unexpected_error': Event(
        'A step failed in a way that the node does not expect, which is a '
        'fault of the node; it went on without the step. The line has the '
        'stack trace.',
        ('step', 'subject', 'reason'),
    ),
    'memory_short': Event(
        'What requests and connections cost, or the resident memory of the '
        'process, takes most of the memory that they may have; bodies of new '
        'requests are refused, and new requests if it gets shorter still.',
        ('used', 'limit', 'resident', 'held'),
    ),
    'memory_regained': Event(
        'Bodies of new requests are accepted again.',
        ('used', 'limit', 'resident', 'held'),
    ),
    'resident_memory_unknown': Event(
        'The system does not tell how much memory the process takes, so only '
        'what requests and connections are known to cost is limited.',
        ('reason',),
    ),
    'server_departed': Event(
        'A server left or is about to, as its messages or a peer say; `born` '
        'is -1 if no heartbeat of it was heard.',
        ('beside', 'server', 'born'),
    ),
    'rollout_ordered': Event('A roll-out was ordered.', _ROLLOUT),
    'rollout_withdrawn': Event(
        'The order of a roll-out was removed.', ('service',)
    ),
    'rollout_share': Event(
        'The share of requests that the new version gets has changed.',
        _ROLLOUT,
    ),
    'rollout_suspicion': Event(
        'By its few calls the new version is more likely bad than good, for '
        'the reason in ``finding``, or is so no more. It gets no larger share '
        'meanwhile and is rolled back at the deadline.',
        (*_ROLLOUT, 'finding'),
    ),
    'rollout_bad': Event(
        'The new version was found bad and gets no more requests.',
        (*_ROLLOUT, 'source', 'finding'),
    ),
    'rollout_state': Event(
        'The state of a roll-out in the store was read.', _ROLLOUT
    ),
    'rollout_said': Event(
        'The node stored the state of a roll-out.',
        (*_ROLLOUT, 'said', 'stands'),
    ),
    'rollout_step_failed': Event(
        'The state of a roll-out could not be stored or read.',
        (*_ROLLOUT, 'reason'),
    ),
    'evacuation_began': Event(
        'A failure domain is evacuated: its servers get no more requests. The '
        'source is the store or the node whose beacon reported the order.',
        ('failure_domain', 'version', 'source'),
    ),
    'evacuation_ended': Event(
        'The order to evacuate a failure domain was removed.',
        ('failure_domain', 'version', 'source'),
    ),
    'quota_owner_changed': Event(
        'Another node owns a shard of the limits of accounts, as far as this '
        'node knows; it reports there from now on.',
        ('shard', 'owner', 'earlier'),
    ),
    'lines_left_out': Event(
        'Lines were not written: those left out were over the rate limit, '
        'those dropped came while the reader was too slow.',
        ('left_out', 'dropped'),
    ),
})
