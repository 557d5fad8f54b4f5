"""The steps of a stop, from the signal to the end of the grace period.

The times hold for grace periods from FULL_TIMES_GRACE on. With a shorter one,
all of them are shorter in proportion, so that the cutoff never comes before the
last sixth of the grace period.
"""

import dataclasses
import datetime as dt
from typing import Final, Self

# How long a stopping node accepts new requests from callers: the platform
# checks readiness every second and stops sending after two failed checks.
CALLER_ACCEPT_TIME: Final = dt.timedelta(seconds=2.6)
# How long a stopping node keeps callers' connections open after a response. The
# platform has stopped sending by then; a caller whose connection is closed
# before would only connect again, and send again what crossed the close.
KEEP_ALIVE_TIME: Final = dt.timedelta(seconds=2.1)
# How long a stopping node accepts requests from peers for its local server:
# after this time, peers know that the node is leaving, even if one beacon was
# lost.
PEER_ACCEPT_TIME: Final = dt.timedelta(seconds=0.7)
# Time at the end of the grace period, reserved for the exit of the process. The
# exit takes a tenth of a second of CPU time but gets less than half of a core
# while the last responses are sent.
STOP_MARGIN: Final = dt.timedelta(seconds=0.8)
# Time before STOP_MARGIN for the responses to requests that would outlast the
# rest of the grace period; they end 5.1 s after the signal by default.
LAST_RESPONSES_TIME: Final = dt.timedelta(seconds=0.1)
# Time before the cutoff at which requests that wait at other nodes are
# withdrawn, for the query and the refusals on links with full queues.
WITHDRAWAL_TIME: Final = dt.timedelta(milliseconds=500)
# Time for the last bytes to leave the instance before the process exits, in
# case the kernel doesn't tell how many there are.
LINGER_TIME: Final = dt.timedelta(milliseconds=100)
# The grace period whose last sixth begins at the cutoff.
FULL_TIMES_GRACE: Final = 6 * (STOP_MARGIN + LAST_RESPONSES_TIME)


@dataclasses.dataclass(frozen=True, slots=True)
class StopSchedule:
    """Times of the steps of a stop, after the signal.

    Parameters
    ----------
    peers_refused
        No more requests of peers for the local server.
    connections_closed
        Each response to a caller closes its connection.
    callers_refused
        No more requests of callers.
    withdrawal
        Requests that wait at other nodes are withdrawn.
    cutoff
        The last requests of callers are answered.
    end
        The node waits for nothing more.
    linger
        Time for the last bytes after that.
    """

    peers_refused: dt.timedelta
    connections_closed: dt.timedelta
    callers_refused: dt.timedelta
    withdrawal: dt.timedelta
    cutoff: dt.timedelta
    end: dt.timedelta
    linger: dt.timedelta

    @classmethod
    def from_grace_period(cls, grace_period: dt.timedelta) -> Self:
        """Return the schedule of a node that is killed after a time."""
        scale = min(1, grace_period / FULL_TIMES_GRACE)
        end = grace_period - STOP_MARGIN * scale
        cutoff = end - LAST_RESPONSES_TIME * scale
        return cls(
            peers_refused=PEER_ACCEPT_TIME * scale,
            connections_closed=KEEP_ALIVE_TIME * scale,
            callers_refused=CALLER_ACCEPT_TIME * scale,
            withdrawal=cutoff - WITHDRAWAL_TIME * scale,
            cutoff=cutoff,
            end=end,
            linger=LINGER_TIME * scale,
        )
