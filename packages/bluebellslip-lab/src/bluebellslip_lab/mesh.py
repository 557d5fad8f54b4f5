"""A mesh of real processes on loopback: platform, nodes, backend servers."""

import dataclasses
import datetime as dt
import hashlib
import secrets
from itertools import chain
from pathlib import Path
from typing import Final

import anyio
import msgspec

from bluebellslip._internal.models.settings import (
    ListenSettings,
    NodeSettings,
    PlatformSettings,
    TokenSettings,
)
from bluebellslip_lab.admin_client import AdminClient
from bluebellslip_lab.behaviour import Behaviour
from bluebellslip_lab.child_processes import ChildProcesses

OPERATOR_TOKEN: Final = 'lab-operator-token'
SERVER_TOKEN: Final = 'lab-server-token'

PORTS_PER_INSTANCE: Final = 10

_PEER_KEY_BYTES: Final = 16
_HOST: Final = '127.0.0.1'
_POLL_INTERVAL: Final = dt.timedelta(milliseconds=50)
_MAX_SEEDS: Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """A backend server and the node beside it.

    ``index`` numbers the instances of a mesh from 0 and determines the ports.
    """

    index: int
    service: str
    version: str
    failure_domain: str
    region: str = 'scot-central'
    slots: int = 12
    behaviour: Behaviour = dataclasses.field(default_factory=Behaviour)

    @property
    def name(self) -> str:
        """Name of the node."""
        return f'{self.service}-{self.version}-{self.index}'

    @property
    def node_process(self) -> str:
        """Name of the node's process."""
        return f'node-{self.name}'

    @property
    def server_process(self) -> str:
        """Name of the server's process."""
        return f'server-{self.name}'


class Mesh:
    """Starts the processes of a mesh and knows their addresses.

    Every mesh has its own random peer key, so that nodes of two meshes which
    use the same addresses do not accept each other's messages.

    Parameters
    ----------
    processes
        Starts and ends the processes.
    directory
        Directory of settings and journals.
    base_port
        First port; the first ten are the platform's, and ten more follow for
        each instance.
    name
        The mesh's name, as in its configuration.
    """

    def __init__(
        self,
        processes: ChildProcesses,
        directory: Path,
        base_port: int,
        name: str,
    ) -> None:
        self._processes = processes
        self._directory = directory
        self._base_port = base_port
        self._name = name
        self._peer_key = secrets.token_hex(_PEER_KEY_BYTES)

    @property
    def processes(self) -> ChildProcesses:
        """Processes of the mesh."""
        return self._processes

    @property
    def platform_url(self) -> str:
        """URL of the platform."""
        return f'http://{_HOST}:{self._base_port}'

    def address(self, instance: Instance, offset: int) -> str:
        """Return host and port, at an offset in the instance's port range."""
        port = (
            self._base_port + PORTS_PER_INSTANCE * (instance.index + 1) + offset
        )
        return f'{_HOST}:{port}'

    def egress_address(self, instance: Instance) -> str:
        """Return the address where a node accepts calls of local clients."""
        return self.address(instance, 0)

    def admin_url(self, instance: Instance) -> str:
        """Return the URL of a node's admin interface."""
        return f'http://{self.address(instance, 3)}'

    def journal_path(self, instance: Instance) -> Path:
        """Return the path of the journal of a server's runs."""
        return self._directory / f'{instance.server_process}.runs'

    def start_platform(self) -> None:
        """Start the simulated platform, empty."""
        self._processes.start(
            'platform',
            'bluebellslip_lab.platform',
            '--port',
            str(self._base_port),
        )

    def start_node(self, instance: Instance) -> None:
        """Start the node of an instance."""
        path = self._directory / f'{instance.node_process}.json'
        path.write_bytes(msgspec.json.encode(self._build_settings(instance)))
        self._processes.start(
            instance.node_process, 'bluebellslip_node', str(path)
        )

    def start_server(self, instance: Instance) -> None:
        """Start the backend server of an instance."""
        flags = {
            '--listen': self.address(instance, 4),
            '--admin': self.admin_url(instance),
            '--token': SERVER_TOKEN,
            '--service': instance.service,
            '--version': instance.version,
            '--slots': str(instance.slots),
            '--behaviour': msgspec.json.encode(instance.behaviour).decode(),
            '--journal': str(self.journal_path(instance)),
            '--seed': str(instance.index),
        }
        self._processes.start(
            instance.server_process,
            'bluebellslip_lab.backend',
            *chain(*flags.items()),
        )

    def _build_settings(self, instance: Instance) -> NodeSettings:
        seeds = tuple(
            self.address(dataclasses.replace(instance, index=index), 2)
            for index in range(_MAX_SEEDS)
            if index != instance.index
        )
        return NodeSettings(
            node=instance.name,
            mesh=self._name,
            region=instance.region,
            failure_domain=instance.failure_domain,
            listen=ListenSettings(
                egress=self.address(instance, 0),
                ingress=self.address(instance, 1),
                peer=self.address(instance, 2),
                admin=self.address(instance, 3),
            ),
            platform=PlatformSettings(
                table=self.platform_url, objects=self.platform_url
            ),
            peer_key=self._peer_key,
            seeds=seeds,
            tokens=(
                _build_token('ana', OPERATOR_TOKEN, ('read', 'apply', 'move')),
                _build_token('server', SERVER_TOKEN, ('announce',)),
            ),
            drain='10s',
        )


async def wait_responding(
    client: AdminClient, url: str, timeout: dt.timedelta
) -> bool:
    """Wait for any response from a URL; return whether one came in time."""
    with anyio.move_on_after(timeout.total_seconds()):
        while not (await client.send('GET', url)).status:
            await anyio.sleep(_POLL_INTERVAL.total_seconds())
        return True
    return False


def _build_token(
    holder: str, token: str, scopes: tuple[str, ...]
) -> TokenSettings:
    digest = hashlib.sha256(token.encode()).hexdigest()
    return TokenSettings(holder=holder, digest=digest, scopes=scopes)
