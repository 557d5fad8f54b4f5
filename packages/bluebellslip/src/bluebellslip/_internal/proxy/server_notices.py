"""What a server says about itself in its responses: its limit, its leaving.

Handles a server in need, which names how many requests a second it takes from
all nodes together for as long as its responses say so, and a server that
leaves, which says so in all its responses too. Only the node beside a server
sees all its responses, and all requests to the server pass that node.
"""

import datetime as dt
import logging
import re
from collections.abc import Sequence
from typing import Final

from bluebellslip._internal.calls.metadata_headers import MetadataHeaders
from bluebellslip._internal.calls.rate_limiter import MIN_RATE
from bluebellslip._internal.calls.response_reader import ResponseHead
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.servers import Lifetime
from bluebellslip._internal.utils.decoding import MAX_WEIGHT

logger = logging.getLogger(__name__)

# A decimal number, with at most nine digits before the point and nine after it.
_LIMIT_PATTERN: Final = re.compile(rb'\d{1,9}(?:\.\d{0,9})?|\.\d{1,9}')
# A change of the limit by no more than this share is not announced.
_ANNOUNCED_CHANGE: Final = 0.1
# Least time between two announcements, and between two log lines about invalid
# limits: a server may say something else in each response.
_ANNOUNCEMENT_INTERVAL: Final = dt.timedelta(milliseconds=500)
_MAX_LOGGED_BYTES: Final = 40


def parse_rate_limit(text: bytes) -> float | None:
    """Return a limit in requests a second, or None if it is invalid.

    A server that takes fewer requests still gets MIN_RATE of them a second.
    """
    if _LIMIT_PATTERN.fullmatch(text.strip()) is None:
        return None
    return min(MAX_WEIGHT, max(MIN_RATE, float(text)))


class ServerNotices:
    """What the local server has said about itself in its present lifetime.

    ``rate_limit`` is its limit in requests a second, 0 if its latest response
    named none, and None while nothing is known of it.

    Parameters
    ----------
    clock
        The node's clock.
    names
        Names of the headers.
    """

    def __init__(self, clock: Clock, names: MetadataHeaders) -> None:
        self._clock = clock
        self._names = names
        self._announced_limit: float = 0
        self._announced_at = -_ANNOUNCEMENT_INTERVAL
        self._invalid_logged_at = -_ANNOUNCEMENT_INTERVAL
        self.rate_limit: float | None = None

    def begin_lifetime(self) -> None:
        """Forget what an earlier lifetime has said."""
        self.rate_limit = None
        self._announced_limit = 0
        self._announced_at = -_ANNOUNCEMENT_INTERVAL

    def learn(self, lifetime: Lifetime, rate_limit: float | None) -> bool:
        """Take over a limit that another node knows.

        It counts only until the server's first response: this node has started
        again and another one remembers.

        Returns
        -------
        bool
            Whether other nodes should hear of the limit at once.
        """
        if self.rate_limit is not None or rate_limit is None:
            return False
        self.rate_limit = rate_limit
        return self._announce(lifetime, 'peer')

    def apply(self, lifetime: Lifetime, head: ResponseHead) -> bool:
        """Apply the headers of a response.

        A limit holds until a response comes without one. A response that may
        not be the server's own ends no limit, and neither does an invalid one.

        Returns
        -------
        bool
            Whether other nodes should hear of the limit at once.
        """
        texts = [
            text
            for name, text in head.headers
            if name == self._names.rate_limit
        ]
        limits = [parse_rate_limit(text) for text in texts]
        valid = [limit for limit in limits if limit is not None]
        if len(valid) < len(texts):
            self._log_invalid(lifetime, texts)
        if valid:
            self.rate_limit = min(valid)
        elif not texts and self._is_authentic(head):
            self.rate_limit = 0
        return self._announce(lifetime, 'response')

    def _is_authentic(self, head: ResponseHead) -> bool:
        names = self._names
        return names.signature in head.fields or names.not_run in head.fields

    def _announce(self, lifetime: Lifetime, source: str) -> bool:
        limit = self.rate_limit or 0
        now = self._clock.elapsed()
        if now - self._announced_at < _ANNOUNCEMENT_INTERVAL:
            return False
        if abs(limit - self._announced_limit) <= limit * _ANNOUNCED_CHANGE:
            return False
        earlier = self._announced_limit
        self._announced_limit = limit
        self._announced_at = now
        logger.info(
            'server_limit',
            extra={
                'server': lifetime.server,
                'limit': limit or None,
                'earlier': earlier or None,
                'source': source,
            },
        )
        return True

    def _log_invalid(self, lifetime: Lifetime, texts: Sequence[bytes]) -> None:
        now = self._clock.elapsed()
        if now - self._invalid_logged_at < _ANNOUNCEMENT_INTERVAL:
            return
        self._invalid_logged_at = now
        logger.warning(
            'server_limit_ignored',
            extra={
                'server': lifetime.server,
                'found': [
                    text[:_MAX_LOGGED_BYTES].decode('latin-1') for text in texts
                ],
            },
        )
