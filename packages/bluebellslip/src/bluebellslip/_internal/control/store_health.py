"""Tracks whether the platform's store responds to this node."""

import logging

from bluebellslip._internal.exceptions import BluebellError

logger = logging.getLogger(__name__)


class StoreHealth:
    """Result of the latest call to the store.

    Before the first call, it has neither succeeded nor failed.
    """

    def __init__(self) -> None:
        self._last_call_failed = False
        self._last_call_succeeded = False

    @property
    def last_call_succeeded(self) -> bool:
        """Whether the store responded to the latest call."""
        return self._last_call_succeeded

    @property
    def last_call_failed(self) -> bool:
        """Whether the store did not respond to the latest call."""
        return self._last_call_failed

    def record_failure(self, error: BluebellError) -> None:
        """Record that a call failed; log the first consecutive failure."""
        if not self._last_call_failed:
            logger.warning('store_lost', extra={'reason': str(error)})
        self._last_call_failed = True
        self._last_call_succeeded = False

    def record_success(self, position: int | None) -> None:
        """Record that a call succeeded.

        Parameters
        ----------
        position
            Position in the store's change feed, for the log.
        """
        if self._last_call_failed:
            logger.info('store_regained', extra={'at': position})
        self._last_call_failed = False
        self._last_call_succeeded = True
