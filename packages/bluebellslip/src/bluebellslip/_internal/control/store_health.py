"""Whether the platform's store answers this node."""

import logging

from bluebellslip._internal.exceptions import BluebellError

logger = logging.getLogger(__name__)


class StoreHealth:
    """What the newest question to the store came to."""

    def __init__(self) -> None:
        self._last_call_failed = False
        self._last_call_succeeded = False

    @property
    def last_call_succeeded(self) -> bool:
        """Whether the store answered the newest question."""
        return self._last_call_succeeded

    @property
    def last_call_failed(self) -> bool:
        """Whether the store failed to answer the newest question."""
        return self._last_call_failed

    def record_failure(self, error: BluebellError) -> None:
        """Note that a question got no answer."""
        if not self._last_call_failed:
            logger.warning('store_lost', extra={'reason': str(error)})
        self._last_call_failed = True
        self._last_call_succeeded = False

    def record_success(self, position: int | None) -> None:
        """Note that the store answered."""
        if self._last_call_failed:
            logger.info('store_regained', extra={'at': position})
        self._last_call_failed = False
        self._last_call_succeeded = True
