"""Tests of configuration changes on real processes, with injected faults.

They guard against changes that are accepted twice, lost after acceptance, or
stored although refused. Such faults come from outages of the platform, lost or
invalid responses, concurrent changes and killed nodes.
"""

from pathlib import Path

import anyio
import msgspec
import pytest

from bluebellslip_lab.admin_client import AdminResponse
from bluebellslip_lab.faults import Faults
from bluebellslip_lab.history import (
    ChangeRecord,
    CommitRecord,
    ReportedOutcome,
    check_changes,
)
from lib.acceptors import add_service
from lib.process_mesh import ProcessMesh, run_process_mesh
from lib.snapshots import make_document

pytestmark = pytest.mark.anyio


async def test_nodes_find_each_other_and_apply(tmp_path: Path) -> None:
    async with run_process_mesh(tmp_path) as running:
        first, second = running.instances
        assert (await running.put_config(first, 'change-1')).status == 200
        await running.wait_applied(second, 1)
        while len((await running.get_json(second, '/v1/nodes'))['nodes']) < 2:
            await anyio.sleep(0.05)


async def test_a_change_during_an_outage_is_refused_and_not_stored(
    tmp_path: Path,
) -> None:
    async with run_process_mesh(tmp_path) as running:
        first, second = running.instances
        await running.put_config(first, 'change-1')
        await running.wait_applied(second, 1)
        await _set_faults(running, Faults(down=True))
        document = add_service(make_document(), 'later')
        refused = await running.put_config(second, 'change-2', document, base=1)
        assert refused.status == 503
        assert refused.json_body['kind'] == 'platform-down'
        await _set_faults(running, Faults())
        assert await running.list_accepted() == [('change-1', 1)]
        assert (
            await _submit_until_available(running, 'change-2', document)
        ).status == 200
        assert await running.list_accepted() == [
            ('change-1', 1),
            ('change-2', 2),
        ]


async def test_a_change_with_a_lost_response_is_accepted_once(
    tmp_path: Path,
) -> None:
    async with run_process_mesh(tmp_path) as running:
        first, second = running.instances
        await running.put_config(first, 'change-1')
        await _set_faults(running, Faults(lose_writes=True))
        document = add_service(make_document(), 'lossy')
        response = await running.put_config(first, 'change-2', document, base=1)
        await _set_faults(running, Faults())
        assert response.json_body['revision'] == 2
        assert await running.list_accepted() == [
            ('change-1', 1),
            ('change-2', 2),
        ]
        await running.wait_applied(second, 2)


async def test_concurrent_changes_form_one_history(tmp_path: Path) -> None:
    async with run_process_mesh(tmp_path) as running:
        await running.put_config(running.instances[0], 'change-1')
        for instance in running.instances:
            await running.wait_applied(instance, 1)
        records: list[ChangeRecord] = []
        async with anyio.create_task_group() as group:
            for number, instance in enumerate(running.instances * 4):
                # Half of the changes conflict, as they add the same service for
                # different teams; the others add distinct services.
                name = 'same' if number % 2 else f'own-{number}'
                change = f'change-{number + 2}'
                document = add_service(make_document(), name)
                document = msgspec.structs.replace(
                    document,
                    services=(
                        *document.services[:-1],
                        msgspec.structs.replace(
                            document.services[-1], team=change
                        ),
                    ),
                )
                group.start_soon(
                    _submit, running, instance, change, document, records
                )
        accepted = await running.list_accepted()
        # The audit rows contain no digests, so change identifiers replace
        # them here; tests/unit/test_acceptor_histories.py checks the digests.
        commits = [
            CommitRecord(revision, change, change, previous)
            for (change, revision), previous in zip(
                accepted, ['', *(each[0] for each in accepted)], strict=False
            )
        ]
        assert not check_changes(records, commits)
        newest = (await running.get_json(running.instances[0], '/v1/config'))[
            'document'
        ]
        distinct = {f'own-{number}' for number in range(0, 8, 2)}
        assert distinct <= {each['name'] for each in newest['services']}
        assert (
            sum(
                change.outcome is ReportedOutcome.NOT_DONE for change in records
            )
            == 3
        )


async def test_invalid_platform_response_is_refused(tmp_path: Path) -> None:
    async with run_process_mesh(tmp_path) as running:
        first, second = running.instances
        await running.put_config(first, 'change-1')
        await running.wait_applied(second, 1)
        await _set_faults(running, Faults(garble=True))
        document = add_service(make_document(), 'garbled')
        refused = await running.put_config(first, 'change-2', document, base=1)
        assert refused.json_body['kind'] == 'platform-garbled'
        assert (await running.get_json(first, '/v1/health'))['revision'] == 1
        await _set_faults(running, Faults())
        assert (
            await _submit_until_available(running, 'change-2', document)
        ).status == 200
        await running.wait_applied(second, 2)


async def test_change_of_a_killed_node_completes_on_another(
    tmp_path: Path,
) -> None:
    async with run_process_mesh(tmp_path) as running:
        first, second = running.instances
        response = await running.put_config(first, 'change-1')
        assert response.json_body['revision'] == 1
        await running.wait_applied(second, 1)
        document = add_service(make_document(), 'orphan')
        await _set_faults(running, Faults(delay_ms=200))
        async with anyio.create_task_group() as group:
            group.start_soon(running.put_config, first, 'change-2', document, 1)
            await _wait_for_write(running)
            running.mesh.processes.kill(first.node_process)
        await _set_faults(running, Faults())
        response = await running.put_config(
            second, 'change-2', document, base=1
        )
        assert response.json_body['revision'] == 2
        await running.wait_applied(second, 2)
        running.mesh.start_node(first)
        await running.wait_applied(first, 2)
        assert await running.list_accepted() == [
            ('change-1', 1),
            ('change-2', 2),
        ]


async def _submit(
    running: ProcessMesh,
    instance: object,
    change: str,
    document: object,
    records: list[ChangeRecord],
) -> None:
    began = anyio.current_time()
    response = await running.put_config(instance, change, document, base=1)  # type: ignore[arg-type]
    ended = anyio.current_time()
    outcome = (
        ReportedOutcome.DONE
        if response.status == 200
        else ReportedOutcome.NOT_DONE
    )
    revision = response.json_body.get('revision', 0)
    records.append(ChangeRecord(change, outcome, began, ended, revision))


async def _submit_until_available(
    running: ProcessMesh, change: str, document: object
) -> AdminResponse:
    """Submit until the circuit breaker lets platform calls through again."""
    while True:
        response = await running.put_config(
            running.instances[0],
            change,
            document,  # type: ignore[arg-type]
            base=1,
        )
        if response.status != 503:
            return response
        await anyio.sleep(0.1)


async def _set_faults(running: ProcessMesh, faults: Faults) -> None:
    await running.client.set_faults(running.mesh.platform_url, faults)


async def _wait_for_write(running: ProcessMesh) -> None:
    """Wait for the next write, which stores the new snapshot."""
    platform = running.mesh.platform_url
    before = (await running.client.read_request_counts(platform)).writes
    while (await running.client.read_request_counts(platform)).writes == before:
        await anyio.sleep(0.01)
