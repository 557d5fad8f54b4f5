"""Holds the active configuration of a node; its revision only increases."""

import datetime as dt
import logging
from collections.abc import Callable
from random import Random
from typing import Final

from bluebellslip._internal.mesh.config_news import ConfigNews
from bluebellslip._internal.mesh.table import RoutingTable
from bluebellslip._internal.models.mesh import ConfigRecord

logger = logging.getLogger(__name__)

# Log lines about entries of one configuration.
MAX_LOGGED_PROBLEMS: Final = 32
_MILLISECOND: Final = dt.timedelta(milliseconds=1)


class ConfigHolder:
    """Holds the newest configuration that the node has received.

    Parameters
    ----------
    random_source
        Randomizes the first destinations of the routing tables.
    news
        Records since when the revisions have been known.
    """

    def __init__(
        self, random_source: Random, news: ConfigNews | None = None
    ) -> None:
        self._random = random_source
        self._news = news
        self._table: RoutingTable | None = None
        self._record: ConfigRecord | None = None
        self._listeners: list[Callable[[RoutingTable], None]] = []

    @property
    def table(self) -> RoutingTable | None:
        """The active routing table; none before the first revision."""
        return self._table

    @property
    def record(self) -> ConfigRecord | None:
        """The active configuration with its stored form, or none."""
        return self._record

    @property
    def revision(self) -> int:
        """The active revision; 0 before the first one."""
        return 0 if self._table is None else self._table.config.revision

    @property
    def problems(self) -> int:
        """How many problems the active configuration has."""
        return 0 if self._record is None else len(self._record.problems)

    @property
    def age(self) -> dt.timedelta:
        """How long the active revision has been known; zero if unknown."""
        if self._news is None:
            return dt.timedelta()
        return self._news.find_age(self.revision) or dt.timedelta()

    def on_change(self, listener: Callable[[RoutingTable], None]) -> None:
        """Call a listener with every routing table that becomes active."""
        self._listeners.append(listener)

    def offer(
        self,
        record: ConfigRecord,
        source: str,
        spent: dt.timedelta | None = None,
    ) -> bool:
        """Activate a configuration if it is newer.

        Parameters
        ----------
        record
            The configuration.
        source
            Where it came from, for the log.
        spent
            How long the request for it took, for the log; none if unknown.

        Returns
        -------
        bool
            Whether it was activated.
        """
        revision = record.config.revision
        if revision <= self.revision:
            return False
        earlier = self.revision
        known_for = self._record_news(revision)
        table = RoutingTable.from_config(record.config, self._random)
        self._record = record
        self._table = table
        logger.info(
            'config_applied',
            extra={
                'revision': revision,
                'earlier': earlier,
                'source': source,
                'routes': len(record.config.routes),
                'known_ms': round(known_for / _MILLISECOND, 1),
                'spent_ms': spent and round(spent / _MILLISECOND, 1),
            },
        )
        _log_problems(record)
        for listener in self._listeners:
            listener(table)
        return True

    def _record_news(self, revision: int) -> dt.timedelta:
        """Return how long a revision that is applied now has been known."""
        if self._news is None:
            return dt.timedelta()
        self._news.record(revision)
        self._news.forget_before(revision)
        return self._news.find_age(revision) or dt.timedelta()


def _log_problems(record: ConfigRecord) -> None:
    for problem in record.problems[:MAX_LOGGED_PROBLEMS]:
        logger.warning(
            'config_entry_unusable',
            extra={
                'revision': record.config.revision,
                'problem': problem,
                'of': len(record.problems),
            },
        )
