"""What the nodes report, as an experiment reads it."""

import datetime as dt
from collections.abc import Iterable, Mapping
from itertools import chain
from typing import Any, Final

import anyio

from bluebellslip_lab.admin_client import AdminClient
from bluebellslip_lab.history import AppliedRecord

_POLL: Final = dt.timedelta(milliseconds=20)
_POLL_MOVE: Final = dt.timedelta(milliseconds=200)
_QUICK: Final = dt.timedelta(seconds=1)
_MS_PER_SECOND: Final = 1000
_BYTE_COUNTERS: Final = ('peer_bytes_sent', 'peer_bytes_received')


class Watcher:
    """Reads the nodes' admin interfaces.

    Parameters
    ----------
    client
        Carries the operator's token.
    """

    def __init__(self, client: AdminClient) -> None:
        self._client = client
        self._applied: list[AppliedRecord] = []

    @property
    def applied(self) -> tuple[AppliedRecord, ...]:
        """Every revision that was seen in force."""
        return tuple(self._applied)

    async def revision(self, name: str, admin: str) -> int:
        """Return the revision in force on a node; 0 for none."""
        reply = await self._client.send(
            'GET', f'{admin}/v1/status', timeout=_QUICK
        )
        revision = int(reply.tree.get('revision') or 0)
        if revision:
            now = anyio.current_time()
            self._applied.append(AppliedRecord(name, 0, now, revision))
        return revision

    async def wait_in_force(
        self, admins: Mapping[str, str], revision: int, timeout: dt.timedelta
    ) -> Mapping[str, float]:
        """Wait until every node has a revision in force.

        Returns
        -------
        Mapping
            Milliseconds from now by node; those that did not come in time
            are left out.
        """
        start = anyio.current_time()
        times: dict[str, float] = {}
        with anyio.move_on_after(timeout.total_seconds()):
            async with anyio.create_task_group() as group:
                for name, admin in admins.items():
                    group.start_soon(
                        self._wait_one, name, admin, revision, times
                    )
        return {
            node: (reached - start) * _MS_PER_SECOND
            for node, reached in times.items()
        }

    async def _wait_one(
        self, name: str, admin: str, revision: int, times: dict[str, float]
    ) -> None:
        while await self.revision(name, admin) < revision:
            await anyio.sleep(_POLL.total_seconds())
        times[name] = anyio.current_time()

    async def move(self, admin: str, service: str) -> Mapping[str, Any]:
        """Return the newest move of a service as a node reports it."""
        reply = await self._client.send('GET', f'{admin}/v1/moves/{service}')
        tree: Mapping[str, Any] = reply.tree
        return tree

    async def wait_move(
        self,
        admin: str,
        service: str,
        version: str,
        timeout: dt.timedelta,
    ) -> Mapping[str, Any]:
        """Wait until a move to a version has ended; return its last state."""
        status: Mapping[str, Any] = {}
        with anyio.move_on_after(timeout.total_seconds()):
            while not _has_ended(status, version):
                await anyio.sleep(_POLL_MOVE.total_seconds())
                status = await self.move(admin, service)
        return status

    async def control_bytes(self, admins: Iterable[str]) -> int:
        """Return the bytes that nodes have exchanged with their peers."""
        total = 0
        for admin in admins:
            reply = await self._client.send('GET', f'{admin}/v1/metrics')
            total += sum_counters(reply.tree, _BYTE_COUNTERS)
        return total


def sum_counters(tree: Any, names: Iterable[str]) -> int:
    """Add up counters in OpenTelemetry's JSON, over all labels."""
    wanted = frozenset(names)
    scopes = chain.from_iterable(
        resource['scope_metrics']
        for resource in tree.get('resource_metrics', ())
    )
    metrics = chain.from_iterable(scope['metrics'] for scope in scopes)
    return sum(
        int(point['value'])
        for metric in metrics
        if metric['name'] in wanted
        for point in metric['data']['data_points']
    )


def _has_ended(status: Mapping[str, Any], version: str) -> bool:
    state = str(status.get('state', '')).lower()
    return status.get('new') == version and state in {'done', 'withdrawn'}
