"""Faults of nodes, network and platform in a mesh simulated in virtual time.

Most tests wait until all live nodes have applied the newest configuration, and
check that no node ever returned to an older revision or applied a configuration
that was not accepted.
"""

import anyio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bluebellslip._internal.models.facts import MemberStatus
from bluebellslip._internal.utils.digests import encode_record
from lib.simulation import NetworkConditions, SimMesh, simulate
from lib.snapshots import make_record
from lib.virtual_time import run_in_virtual_time

_DOMAINS = ('a', 'b', 'c')


async def _start(
    mesh: SimMesh, count: int, regions=('east',), seeds=(0, 1, 2)
) -> None:
    for number in range(count):
        mesh.add(
            number,
            region=regions[number % len(regions)],
            domain=_DOMAINS[number % 3],
            seeds=seeds,
        )
    await mesh.wait_until(mesh.is_joined, 30)


def _run(scenario, seed: int = 1) -> None:
    run_in_virtual_time(simulate, seed, scenario)


def test_changes_reach_all_nodes_while_the_platform_is_down() -> None:
    async def scenario(mesh: SimMesh) -> None:
        await _start(mesh, 12)
        mesh.accept_revision(3)
        mesh.platform.down = True
        await mesh.wait_until(mesh.has_converged, 0.5)
        mesh.accept_revision(4)
        await mesh.wait_until(mesh.has_converged, 0.5)
        mesh.check()

    _run(scenario)


def test_probes_spread_a_change_whose_pushes_were_lost() -> None:
    """All messages are lost for 0.1 s after the change is accepted."""

    async def scenario(mesh: SimMesh) -> None:
        await _start(mesh, 12)
        mesh.platform.down = True
        mesh.network.is_partitioned = lambda one, two: True
        mesh.accept_revision(3)
        await anyio.sleep(0.1)
        mesh.network.is_partitioned = lambda one, two: False
        await mesh.wait_until(mesh.has_converged, 15)
        mesh.check()

    _run(scenario)


def test_relays_spread_a_change_whose_acceptor_crashed() -> None:
    """The node crashes before it can notify any other node of the change."""

    async def scenario(mesh: SimMesh) -> None:
        await _start(mesh, 9)
        mesh.network.is_partitioned = lambda one, two: True
        mesh.accept_revision(5)
        mesh.kill(5)
        mesh.network.is_partitioned = lambda one, two: False
        await mesh.wait_until(mesh.has_converged, 10)
        mesh.check()

    _run(scenario)


def test_half_of_the_nodes_crash_and_restart() -> None:
    async def scenario(mesh: SimMesh) -> None:
        await _start(mesh, 16)
        mesh.accept_revision(0)
        await mesh.wait_until(mesh.has_converged, 10)
        for number in range(8):
            mesh.kill(number)
        mesh.accept_revision(9)
        await mesh.wait_until(
            lambda: all(
                node.find_status('node-0') is MemberStatus.DEAD
                for node in mesh.nodes.values()
            ),
            60,
        )
        for number in range(8):
            mesh.start(number)
        await mesh.wait_until(mesh.is_joined, 30)
        await mesh.wait_until(mesh.has_converged, 10)
        mesh.check()

    _run(scenario)


def test_a_restarted_node_does_not_return_to_an_older_revision() -> None:
    """A node that restarts while the platform is down asks its peers.

    The first peer to respond still has an older revision, since it was
    partitioned when the newer one was accepted.
    """

    async def scenario(mesh: SimMesh) -> None:
        await _start(mesh, 4)
        mesh.accept_revision(0)
        await mesh.wait_until(mesh.has_converged, 10)
        stale, restarted = (
            mesh.nodes[number].context.peer_address for number in (1, 2)
        )
        mesh.network.is_partitioned = lambda one, two: stale in {one, two}
        mesh.accept_revision(0)
        mesh.platform.down = True
        await anyio.sleep(10)
        assert mesh.nodes[1].revision == 1
        mesh.kill(2)
        # The restarted node first receives messages from the stale node.
        mesh.network.is_partitioned = lambda one, two: (
            stale in {one, two} and restarted not in {one, two}
        )
        mesh.network.extra_delay = lambda one, two: (
            0 if stale in {one, two} else 0.3
        )
        mesh.add(2, domain='c', seeds=(1,))
        await mesh.wait_until(lambda: mesh.nodes[2].revision == 2, 20)
        mesh.network.is_partitioned = lambda one, two: False
        await mesh.wait_until(mesh.has_converged, 30)
        mesh.check()

    _run(scenario)


def test_a_frozen_node_declares_nobody_dead() -> None:
    """On resuming, a node finds all others silent because of its own pause."""

    async def scenario(mesh: SimMesh) -> None:
        await _start(mesh, 6)
        mesh.freeze(4)
        await anyio.sleep(40)
        assert mesh.nodes[0].find_status('node-4') is MemberStatus.DEAD
        mesh.thaw(4)
        await anyio.sleep(0.5)
        deaths = mesh.nodes[4].counters.sums.get('members_dead', 0)
        assert deaths == 0
        await mesh.wait_until(mesh.is_joined, 30)

    _run(scenario)


def test_a_partitioned_region_is_marked_and_its_members_are_kept() -> None:
    async def scenario(mesh: SimMesh) -> None:
        await _start(mesh, 12, regions=('east', 'west'))
        east = {
            node.context.peer_address
            for node in mesh.nodes.values()
            if node.context.settings.region == 'east'
        }
        mesh.network.is_partitioned = lambda one, two: (
            (one in east) != (two in east)
        )
        await anyio.sleep(120)
        for node in mesh.nodes.values():
            assert node.counters.sums.get('members_dead', 0) == 0
            assert len(node.membership.core.partitioned_regions()) == 1
        mesh.platform.down = True
        mesh.accept_revision(0)
        await anyio.sleep(10)
        mesh.network.is_partitioned = lambda one, two: False
        await mesh.wait_until(mesh.has_converged, 20)
        await mesh.wait_until(mesh.is_joined, 20)
        await mesh.wait_until(
            lambda: (
                not any(
                    node.membership.core.partitioned_regions()
                    for node in mesh.nodes.values()
                )
            ),
            30,
        )
        mesh.check()

    _run(scenario)


def test_a_partitioned_failure_domain_rejoins() -> None:
    async def scenario(mesh: SimMesh) -> None:
        # No seeds are configured, and the platform goes down after the nodes
        # have joined, so they can rejoin only through addresses they know.
        await _start(mesh, 12, seeds=())
        mesh.accept_revision(0)
        mesh.platform.down = True
        isolated = {
            node.context.peer_address
            for node in mesh.nodes.values()
            if node.context.settings.failure_domain == 'c'
        }
        mesh.network.is_partitioned = lambda one, two: (
            (one in isolated) != (two in isolated)
        )
        await mesh.wait_until(
            lambda: all(
                mesh.nodes[one].find_status(f'node-{two}') is MemberStatus.DEAD
                for one, two in ((0, 2), (2, 0), (1, 5), (5, 1))
            ),
            90,
        )
        mesh.accept_revision(0)
        await anyio.sleep(10)
        mesh.network.is_partitioned = lambda one, two: False
        await mesh.wait_until(mesh.is_joined, 60)
        await mesh.wait_until(mesh.has_converged, 10)
        mesh.check()

    _run(scenario)


def test_a_corrupt_object_is_fetched_from_a_peer() -> None:
    """The object is corrupt only in the platform's store."""

    async def scenario(mesh: SimMesh) -> None:
        await _start(mesh, 6)
        mesh.accept_revision(0)
        await mesh.wait_until(mesh.has_converged, 5)
        # The replacement is well formed, but does not match the digest.
        mesh.platform.bodies[mesh.head_digest] = encode_record(
            make_record(mesh.head_revision, 'another')
        )
        # As the only relay of its failure domain, the new node polls the
        # platform, and gets the corrupt object before a delayed peer responds.
        mesh.add(6, domain='z')
        joiner = mesh.nodes[6].context.peer_address
        mesh.network.extra_delay = lambda one, two: (
            0.4 if joiner in {one, two} else 0
        )
        await mesh.wait_until(mesh.has_converged, 20)
        assert mesh.nodes[6].counters.sums['objects_refused'] == 1
        mesh.check()

    _run(scenario)


async def _run_step(mesh: SimMesh, step: str) -> None:
    _STEPS[step](mesh, mesh.network.random.randrange(_NODE_COUNT))
    await anyio.sleep(mesh.network.random.choice((0.2, 2, 12)))


def _accept(mesh: SimMesh, number: int) -> None:
    running = [
        key for key, node in mesh.nodes.items() if not node.clock.is_frozen
    ]
    if running and not mesh.platform.down:
        mesh.accept_revision(running[number % len(running)])


def _kill(mesh: SimMesh, number: int) -> None:
    if number in mesh.nodes and len(mesh.nodes) > 3:
        mesh.kill(number)


def _start_again(mesh: SimMesh, number: int) -> None:
    if number not in mesh.nodes:
        mesh.start(number)


def _freeze(mesh: SimMesh, number: int) -> None:
    if number in mesh.nodes:
        mesh.freeze(number)


def _thaw(mesh: SimMesh, number: int) -> None:
    if number in mesh.nodes:
        mesh.thaw(number)


def _partition(mesh: SimMesh, number: int) -> None:
    isolated = {mesh.settings[key].listen.peer for key in range(number)}
    mesh.network.is_partitioned = lambda one, two: (
        (str(one) in isolated) != (str(two) in isolated)
    )


def _heal(mesh: SimMesh, number: int) -> None:
    mesh.network.is_partitioned = lambda one, two: False


def _stop_platform(mesh: SimMesh, number: int) -> None:
    mesh.platform.down = True


def _restore_platform(mesh: SimMesh, number: int) -> None:
    mesh.platform.down = False


def _wait(mesh: SimMesh, number: int) -> None:
    """Do nothing; the caller lets time pass."""


_NODE_COUNT = 6
_STEPS = {
    'accept': _accept,
    'kill': _kill,
    'start': _start_again,
    'freeze': _freeze,
    'thaw': _thaw,
    'cut': _partition,
    'heal': _heal,
    'down': _stop_platform,
    'up': _restore_platform,
    'wait': _wait,
}


@settings(
    max_examples=15,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
@given(
    steps=st.lists(st.sampled_from(tuple(_STEPS)), min_size=4, max_size=16),
    seed=st.integers(0, 1 << 16),
    loss_rate=st.sampled_from((0, 0.05, 0.3)),
    duplicate_rate=st.sampled_from((0, 0.3)),
    max_delay_s=st.sampled_from((0.01, 0.2, 0.8)),
)
def test_no_node_returns_to_an_older_revision_under_faults(
    steps, seed, loss_rate, duplicate_rate, max_delay_s
) -> None:
    async def scenario(mesh: SimMesh) -> None:
        await _start(mesh, _NODE_COUNT)
        mesh.network.conditions = NetworkConditions(
            loss_rate, duplicate_rate, max_delay_s
        )
        for step in steps:
            await _run_step(mesh, step)
        mesh.network.conditions = NetworkConditions()
        _heal(mesh, 0)
        _restore_platform(mesh, 0)
        for number in range(_NODE_COUNT):
            _start_again(mesh, number)
            mesh.thaw(number)
        await mesh.wait_until(mesh.has_converged, 60)
        await mesh.wait_until(mesh.is_joined, 120)
        mesh.check()

    _run(scenario, seed)
