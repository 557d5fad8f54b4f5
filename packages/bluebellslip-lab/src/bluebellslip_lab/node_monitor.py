"""Reads revisions, moves and metrics from nodes during an experiment."""

import datetime as dt
from collections.abc import Iterable, Mapping
from itertools import chain
from typing import Any, Final

import anyio

from bluebellslip_lab.admin_client import AdminClient
from bluebellslip_lab.history import AppliedRecord

_STATUS_POLL_INTERVAL: Final = dt.timedelta(milliseconds=20)
_MOVE_POLL_INTERVAL: Final = dt.timedelta(milliseconds=200)
_STATUS_TIMEOUT: Final = dt.timedelta(seconds=1)
_MS_PER_SECOND: Final = 1000
_BYTE_COUNTERS: Final = ('peer_bytes_sent', 'peer_bytes_received')


class NodeMonitor:
    """Reads the nodes' admin interfaces.

    Parameters
    ----------
    client
        Client with the operator's token.
    """

    def __init__(self, client: AdminClient) -> None:
        self._client = client
        self._applied_records: list[AppliedRecord] = []

    @property
    def applied_records(self) -> tuple[AppliedRecord, ...]:
        """Every read of an applied revision, in order of time."""
        return tuple(self._applied_records)

    async def read_revision(self, name: str, admin_url: str) -> int:
        """Record and return the revision that a node has applied.

        Return 0 if the node has applied none or did not respond.
        """
        response = await self._client.send(
            'GET', f'{admin_url}/v1/status', timeout=_STATUS_TIMEOUT
        )
        revision = int(response.json_body.get('revision') or 0)
        if revision:
            now = anyio.current_time()
            self._applied_records.append(AppliedRecord(name, 0, now, revision))
        return revision

    async def wait_applied(
        self,
        admin_urls: Mapping[str, str],
        revision: int,
        timeout: dt.timedelta,
    ) -> Mapping[str, float]:
        """Wait until every node has applied a revision or a later one.

        Returns
        -------
        Mapping
            Milliseconds from the start of the wait until each node had
            applied the revision; nodes that did not do so in time are left
            out.
        """
        start = anyio.current_time()
        applied_at: dict[str, float] = {}
        with anyio.move_on_after(timeout.total_seconds()):
            async with anyio.create_task_group() as group:
                for name, admin_url in admin_urls.items():
                    group.start_soon(
                        self._wait_node_applied,
                        name,
                        admin_url,
                        revision,
                        applied_at,
                    )
        return {
            node: (reached - start) * _MS_PER_SECOND
            for node, reached in applied_at.items()
        }

    async def _wait_node_applied(
        self,
        name: str,
        admin_url: str,
        revision: int,
        applied_at: dict[str, float],
    ) -> None:
        while await self.read_revision(name, admin_url) < revision:
            await anyio.sleep(_STATUS_POLL_INTERVAL.total_seconds())
        applied_at[name] = anyio.current_time()

    async def read_move(
        self, admin_url: str, service: str
    ) -> Mapping[str, Any]:
        """Return the latest move of a service as a node reports it."""
        response = await self._client.send(
            'GET', f'{admin_url}/v1/moves/{service}'
        )
        json_body: Mapping[str, Any] = response.json_body
        return json_body

    async def wait_move_end(
        self,
        admin_url: str,
        service: str,
        version: str,
        timeout: dt.timedelta,
    ) -> Mapping[str, Any]:
        """Wait until a move to a version ends or the timeout expires.

        Returns
        -------
        Mapping
            The last status of the service's move, empty if none was read.
        """
        status: Mapping[str, Any] = {}
        with anyio.move_on_after(timeout.total_seconds()):
            while not _has_ended(status, version):
                await anyio.sleep(_MOVE_POLL_INTERVAL.total_seconds())
                status = await self.read_move(admin_url, service)
        return status

    async def read_control_bytes(self, admin_urls: Iterable[str]) -> int:
        """Return the number of bytes sent to and received from peers.

        The number is the sum over all the nodes.
        """
        total = 0
        for admin_url in admin_urls:
            response = await self._client.send('GET', f'{admin_url}/v1/metrics')
            total += sum_counters(response.json_body, _BYTE_COUNTERS)
        return total


def sum_counters(json_body: Any, names: Iterable[str]) -> int:
    """Sum up named counters in OpenTelemetry JSON, over all labels."""
    wanted = frozenset(names)
    scopes = chain.from_iterable(
        resource['scope_metrics']
        for resource in json_body.get('resource_metrics', ())
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
