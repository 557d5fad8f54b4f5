"""Log lines on standard output that never block the node.

At most ``MAX_REQUEST_LINES_PER_SECOND`` lines about requests are written per
second. To leave room for failures, nodes log only a sample of the requests
served at the first attempt, selected by request ID so that all nodes log the
same ones. A separate line counts the lines over the limit and those dropped
because the pipe was full.
"""

import logging
import os
import stat
import sys
from collections import Counter
from typing import Any, Final

from pythonjsonlogger.json import JsonFormatter

from bluebellslip._internal.kernel.clock import Clock, SystemClock

REQUEST_EVENTS: Final = frozenset((
    'request_failed',
    'request_served',
    'request_unanswered',
    'visit_failed',
    'visit_served',
))
# Outcomes of requests whose callers got no response. Their lines have a limit
# of their own, so that no flood of refusals hides them.
UNANSWERED_OUTCOMES: Final = frozenset((
    'broken-off',
    'caller-left',
    'caller-left-waiting',
    'connection-closed',
    'cut-off',
    'ignored',
    'undelivered',
))
# A line costs about fifty microseconds, so this rate uses 0.5 % of a core.
MAX_REQUEST_LINES_PER_SECOND: Final = 100
# Bytes buffered for a slow reader before lines are dropped.
MAX_PENDING_BYTES: Final = 1 << 18
_STDOUT_DESCRIPTOR: Final = 1


class NonBlockingHandler(logging.Handler):
    """Writes lines to a descriptor without waiting for its reader.

    Parameters
    ----------
    descriptor
        File descriptor to write to; a pipe must be non-blocking.
    clock
        Clock of the rate limit.
    """

    def __init__(self, descriptor: int, clock: Clock) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._clock = clock
        self._pending = bytearray()
        self._current_second = 0
        self._line_counts: Counter[bool] = Counter()
        self._omitted = 0
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or count it if it is over the rate limit."""
        self._update_rate_window()
        if record.getMessage() in REQUEST_EVENTS:
            outcome = getattr(record, 'outcome', '')
            is_unanswered = outcome in UNANSWERED_OUTCOMES
            if self._line_counts[is_unanswered] >= MAX_REQUEST_LINES_PER_SECOND:
                self._omitted += 1
                return
            self._line_counts[is_unanswered] += 1
        self._write(self.format(record))

    def _update_rate_window(self) -> None:
        second = int(self._clock.elapsed().total_seconds())
        if second == self._current_second:
            return
        self._current_second = second
        self._line_counts.clear()
        if self._omitted or self._dropped:
            summary = logging.makeLogRecord({
                'levelname': 'WARNING',
                'levelno': logging.WARNING,
                'msg': 'lines_left_out',
                'left_out': self._omitted,
                'dropped': self._dropped,
            })
            self._omitted = 0
            self._dropped = 0
            self._write(self.format(summary))

    def _write(self, line: str) -> None:
        if len(self._pending) > MAX_PENDING_BYTES:
            self._dropped += 1
        else:
            self._pending += f'{line}\n'.encode()
        self._flush_pending()

    def _flush_pending(self) -> None:
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe; the error can't be logged.
            self._pending.clear()
            return
        del self._pending[:written]


class UptimeFormatter(JsonFormatter):
    """Formats log lines as JSON with the time since the process started.

    Parameters
    ----------
    clock
        Steady clock of the process.
    node
        The node's name, added to every line.
    """

    def __init__(self, clock: Clock, node: str) -> None:
        super().__init__(
            ('levelname', 'message'),
            rename_fields={
                'levelname': 'level',
                'message': 'event',
                'timestamp': 'time',
            },
            static_fields={'node': node},
            timestamp=True,
        )
        self._clock = clock
        self._started = clock.elapsed()

    def add_fields(
        self,
        log_data: dict[str, Any],
        record: logging.LogRecord,
        message_dict: dict[str, Any],
    ) -> None:
        """Add the fields of a line."""
        super().add_fields(log_data, record, message_dict)
        uptime = self._clock.elapsed() - self._started
        log_data['uptime_s'] = round(uptime.total_seconds(), 3)


def configure_stdout_logs(node: str) -> None:
    """Write log lines of this process as JSON to standard output.

    Parameters
    ----------
    node
        The node's name, added to every line.
    """
    if not stat.S_ISREG(os.fstat(_STDOUT_DESCRIPTOR).st_mode):
        os.set_blocking(_STDOUT_DESCRIPTOR, False)
    sys.stdout.flush()
    clock = SystemClock()
    handler = NonBlockingHandler(_STDOUT_DESCRIPTOR, clock)
    handler.setFormatter(UptimeFormatter(clock, node))
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
