"""Baseline for the convergence time: every node polls the head revision."""

import time
from collections import defaultdict
from random import Random
from typing import Final

import anyio
import httpcore
import msgspec

from bluebellslip._internal.models.rows import HEAD_KEY, HeadRow
from bluebellslip._internal.platform.wire import (
    build_object_path,
    build_row_path,
)

_POLL_INTERVAL_S: Final = 1.0


class _RowResponse(msgspec.Struct):
    body: bytes


class HeadPollers:
    """One poller for each node, each with its own connection.

    Parameters
    ----------
    platform
        URL of the platform.
    count
        Number of pollers.

    Attributes
    ----------
    fetch_times
        Unix times in seconds of the fetches of each revision.
    """

    def __init__(self, platform: str, count: int) -> None:
        self._platform = platform
        self._count = count
        self._random = Random(count)
        self.fetch_times: dict[int, list[float]] = defaultdict(list)

    async def run(self) -> None:
        """Poll until cancelled."""
        async with anyio.create_task_group() as group:
            for _ in range(self._count):
                group.start_soon(self._poll)

    async def _poll(self) -> None:
        await anyio.sleep(_POLL_INTERVAL_S * self._random.random())
        revision = 0
        async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
            while True:
                head = await self._read_head(pool)
                if head.revision > revision:
                    path = build_object_path(head.digest)
                    await pool.request('GET', f'{self._platform}{path}')
                    revision = head.revision
                    self.fetch_times[revision].append(time.time())
                await anyio.sleep(_POLL_INTERVAL_S)

    async def _read_head(self, pool: httpcore.AsyncConnectionPool) -> HeadRow:
        path = build_row_path(HEAD_KEY)
        response = await pool.request('GET', f'{self._platform}{path}')
        row = msgspec.json.decode(response.content, type=_RowResponse)
        return msgspec.msgpack.decode(row.body, type=HeadRow)
