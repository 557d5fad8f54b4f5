"""Cost of the evidence on a move for the nodes beside a service's servers.

Run as ``python -m bench.evidence``. Three windows of a server's calls on two
routes are encoded as one message, which a node sends every second, and added
to the windows of a receiving peer.
"""

import datetime as dt
import time
from collections.abc import Callable
from random import Random
from typing import Final

import msgspec

from bench.results import ResultRow, print_rows, write_results
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.ports import Outcome, RequestStatus
from bluebellslip._internal.models.identity import (
    RouteName,
    ServiceName,
    VersionName,
)
from bluebellslip._internal.moves.messages import EvidenceMessage
from bluebellslip._internal.moves.outcome_counts import WindowCounts
from bluebellslip._internal.moves.windows import (
    WINDOW,
    WINDOWS_PER_MESSAGE,
    GroupWindows,
    OutcomeRecorder,
)

_RATES: Final = (10, 50, 107, 200)  # calls a second at one server
_ROUTES: Final = 2
_REPETITIONS: Final = 200
_SERVICE: Final = ServiceName('lodgement')
_VERSION: Final = VersionName('v2')
_MEDIAN_LATENCY_S: Final = 0.02
_LATENCY_SIGMA: Final = 0.5


def record_windows(rate: int) -> tuple[tuple[WindowCounts, ...], float]:
    """Record complete windows at a rate in calls per second.

    Returns
    -------
    tuple
        Counts of the windows that fit one message, and the seconds that it
        takes to record one call.
    """
    clock = ManualClock()
    random_source = Random(rate)
    recorder = OutcomeRecorder(clock)
    outcomes = [_make_outcome(random_source, index) for index in range(rate)]
    start = time.perf_counter()
    for _ in range(WINDOWS_PER_MESSAGE + 1):
        for outcome in outcomes:
            recorder.record(outcome)
        clock.advance(WINDOW)
    elapsed_s = time.perf_counter() - start
    return recorder.collect(), elapsed_s / rate / (WINDOWS_PER_MESSAGE + 1)


def measure_rate(rate: int) -> ResultRow:
    """Return the size and times of one message at a rate in calls per second.

    ``record_us`` is the time to record one call, ``encode_us`` to encode one
    message and ``take_us`` to add its counts at the receiver, all in
    microseconds.
    """
    counts, record_s = record_windows(rate)
    message = EvidenceMessage('node-1', 1, _SERVICE, _VERSION, counts)
    encode_s = _measure_time(lambda: msgspec.msgpack.encode(message))
    add_s = _measure_time(
        lambda: GroupWindows().add(('n', 1), _VERSION, counts)
    )
    return {
        'calls_s': rate,
        'message_bytes': len(msgspec.msgpack.encode(message)),
        'record_us': record_s * 1e6,
        'encode_us': encode_s * 1e6,
        'take_us': add_s * 1e6,
    }


def main() -> None:
    """Measure every rate, print the table and write the results."""
    rows = [measure_rate(rate) for rate in _RATES]
    print_rows(rows)
    write_results('evidence', rows, routes=_ROUTES)


def _make_outcome(random_source: Random, index: int) -> Outcome:
    latency = _MEDIAN_LATENCY_S * random_source.lognormvariate(
        0, _LATENCY_SIGMA
    )
    return Outcome(
        service=_SERVICE,
        version=_VERSION,
        route=RouteName(f'route-{index % _ROUTES}'),
        status=RequestStatus.SUCCEEDED,
        latency=dt.timedelta(seconds=latency),
    )


def _measure_time(action: Callable[[], object]) -> float:
    start = time.perf_counter()
    for _ in range(_REPETITIONS):
        action()
    return (time.perf_counter() - start) / _REPETITIONS


if __name__ == '__main__':
    main()
