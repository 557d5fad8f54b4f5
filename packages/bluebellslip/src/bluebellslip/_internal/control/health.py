"""Whether the platform's store answers this node."""

import logging

from bluebellslip._internal.exceptions import BluebellError

logger = logging.getLogger(__name__)


class StoreHealth:
    """What the newest question to the store came to."""

    def __init__(self) -> None:
        self._is_lost = False
        self._is_heard = False

    @property
    def is_heard(self) -> bool:
        """Whether the store answered the newest question."""
        return self._is_heard

    @property
    def is_lost(self) -> bool:
        """Whether the store failed to answer the newest question."""
        return self._is_lost

    def fail(self, error: BluebellError) -> None:
        """Note that a question got no answer."""
        if not self._is_lost:
            logger.warning('store_lost', extra={'reason': str(error)})
        self._is_lost = True
        self._is_heard = False

    def recover(self, position: int | None) -> None:
        """Note that the store answered."""
        if self._is_lost:
            logger.info('store_regained', extra={'at': position})
        self._is_lost = False
        self._is_heard = True
