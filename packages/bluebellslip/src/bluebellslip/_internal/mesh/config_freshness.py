"""Decides what a node may still decide by a configuration that is replaced.

Handles changes that a node hears of before it has them. A response that callers
take as final needs the newest configuration. Requests go on by the active one
for as long as a change may take, and are refused after that, since another node
can route them. A node that can't catch up at all goes on with what it has.
"""

import datetime as dt
import logging
from collections.abc import Callable
from typing import Final

from bluebellslip._internal.exceptions import NotReadyError
from bluebellslip._internal.mesh.config_news import ConfigNews
from bluebellslip._internal.mesh.holder import ConfigHolder
from bluebellslip._internal.mesh.table import RoutingTable

logger = logging.getLogger(__name__)

# Share of the time allowed to apply a configuration after which requests are no
# longer routed by an older one; the node hears of a change after it was stored.
OVERDUE_SHARE: Final = 0.8
# After this many times the time allowed, the node routes by what it has: the
# newer configuration can't be had, and refusing on would be an outage.
GIVE_UP_FACTOR: Final = 10


class ConfigFreshness:
    """Tells whether the active configuration may decide.

    Parameters
    ----------
    holder
        The active configuration.
    news
        Since when newer configurations have been known.
    read_newest
        Returns the newest revision that a live peer has.
    config_apply
        Time within which a configuration has to be in force.
    """

    def __init__(
        self,
        holder: ConfigHolder,
        news: ConfigNews,
        read_newest: Callable[[], int],
        config_apply: dt.timedelta,
    ) -> None:
        self._holder = holder
        self._news = news
        self._read_newest = read_newest
        self._config_apply = config_apply
        self._overdue_revision = 0

    @property
    def table(self) -> RoutingTable | None:
        """The active routing table; none before the first revision."""
        return self._holder.table

    @property
    def lag(self) -> dt.timedelta | None:
        """How long a newer configuration of a live peer has been known.

        None if no live peer has one.
        """
        revision = self._holder.revision
        age = self._news.find_age(revision + 1)
        if age is None or self._read_newest() <= revision:
            return None
        return age

    @property
    def is_overdue(self) -> bool:
        """Whether requests may no longer be routed by the configuration."""
        lag = self.lag
        if lag is None or lag < self._config_apply * OVERDUE_SHARE:
            return False
        return lag < self._config_apply * GIVE_UP_FACTOR

    def check_routing(self) -> None:
        """Check that requests may be routed by the active configuration.

        Raises
        ------
        NotReadyError
            When it has been replaced for too long.
        """
        if not self.is_overdue:
            return
        if self._overdue_revision != self._holder.revision:
            self._overdue_revision = self._holder.revision
            logger.warning('config_overdue', extra=self._describe())
        raise self._make_error()

    def check_final(self) -> None:
        """Check that a response which callers take as final may be sent.

        Raises
        ------
        NotReadyError
            When a newer configuration is known.
        """
        if self.lag is not None:
            raise self._make_error()

    def _describe(self) -> dict[str, object]:
        lag = self.lag
        return {
            'revision': self._holder.revision,
            'newest': self._read_newest(),
            'known_s': lag and round(lag.total_seconds(), 3),
        }

    def _make_error(self) -> NotReadyError:
        return NotReadyError(
            'A newer configuration is known but not applied yet.',
            context={
                name: str(found) for name, found in self._describe().items()
            },
        )
