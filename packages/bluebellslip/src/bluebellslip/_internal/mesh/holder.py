"""Holds the active configuration of a node; its revision only increases."""

import logging
from collections.abc import Callable
from random import Random

from bluebellslip._internal.mesh.table import RoutingTable
from bluebellslip._internal.models.mesh import ConfigRecord

logger = logging.getLogger(__name__)


class ConfigHolder:
    """Holds the newest configuration that the node has received.

    Parameters
    ----------
    random_source
        Randomizes the first destinations of the routing tables.
    """

    def __init__(self, random_source: Random) -> None:
        self._random = random_source
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

    def on_change(self, listener: Callable[[RoutingTable], None]) -> None:
        """Call a listener with every routing table that becomes active."""
        self._listeners.append(listener)

    def offer(self, record: ConfigRecord, source: str) -> bool:
        """Activate a configuration if it is newer.

        Parameters
        ----------
        record
            The configuration.
        source
            Where it came from, for the log.

        Returns
        -------
        bool
            Whether it was activated.
        """
        revision = record.config.revision
        if revision <= self.revision:
            return False
        earlier = self.revision
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
            },
        )
        for listener in self._listeners:
            listener(table)
        return True
