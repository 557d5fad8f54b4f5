"""Tracks whether the platform's store responds to this node."""

import logging

from bluebellslip._internal.exceptions import BluebellError

logger = logging.getLogger(__name__)


class StoreHealth:
    """Result of the latest request for the desired state.

    Other calls to the store are not recorded. Before the first request, both
    properties are false.
    """

    def __init__(self) -> None:
        self._last_request_failed = False
        self._last_request_succeeded = False

    @property
    def last_request_succeeded(self) -> bool:
        """Whether the latest request got a valid response."""
        return self._last_request_succeeded

    @property
    def last_request_failed(self) -> bool:
        """Whether the latest request got no valid response."""
        return self._last_request_failed

    def record_failure(self, error: BluebellError) -> None:
        """Record a failed request; log only the first of several in a row."""
        if not self._last_request_failed:
            logger.warning('store_lost', extra={'reason': str(error)})
        self._last_request_failed = True
        self._last_request_succeeded = False

    def record_success(self, position: int | None) -> None:
        """Record a successful request; log it if the previous one failed.

        Parameters
        ----------
        position
            Position in the store's change feed, for the log.
        """
        if self._last_request_failed:
            logger.info('store_regained', extra={'at': position})
        self._last_request_failed = False
        self._last_request_succeeded = True
