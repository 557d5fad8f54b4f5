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
from bluebellslip_lab.children import Children

OPERATOR_TOKEN: Final = 'lab-operator-token'
SERVER_TOKEN: Final = 'lab-server-token'

PORTS_PER_PLACE: Final = 10

_KEY_BYTES: Final = 16
_HOST: Final = '127.0.0.1'
_POLL: Final = dt.timedelta(milliseconds=50)
_SEEDS: Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A backend server and the node beside it.

    ``index`` is its place in the mesh, from 0; ports follow from it.
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
    def node(self) -> str:
        """Name of the node's process."""
        return f'node-{self.name}'

    @property
    def server(self) -> str:
        """Name of the server's process."""
        return f'server-{self.name}'


class Mesh:
    """Starts and reaches the processes of a mesh.

    Its nodes share a key of their own, so that two meshes which meet at an
    address stay apart.

    Parameters
    ----------
    children
        Keeps the processes.
    directory
        Receives settings and journals.
    base_port
        First of the ports used, ten for each node and ten before them.
    name
        The mesh's name, as in its configuration.
    """

    def __init__(
        self, children: Children, directory: Path, base_port: int, name: str
    ) -> None:
        self._children = children
        self._directory = directory
        self._base_port = base_port
        self._name = name
        self._peer_key = secrets.token_hex(_KEY_BYTES)

    @property
    def children(self) -> Children:
        """The processes."""
        return self._children

    @property
    def platform(self) -> str:
        """URL of the platform."""
        return f'http://{_HOST}:{self._base_port}'

    def address(self, place: Place, offset: int) -> str:
        """Return an address of a place: host and port."""
        port = self._base_port + PORTS_PER_PLACE * (place.index + 1) + offset
        return f'{_HOST}:{port}'

    def egress(self, place: Place) -> str:
        """Return where callers beside a node reach the mesh."""
        return self.address(place, 0)

    def admin(self, place: Place) -> str:
        """Return the URL of a node's admin interface."""
        return f'http://{self.address(place, 3)}'

    def journal(self, place: Place) -> Path:
        """Return the file that a server notes its runs in."""
        return self._directory / f'{place.server}.runs'

    def start_platform(self) -> None:
        """Start the platform's stand-in, empty."""
        self._children.start(
            'platform',
            'bluebellslip_lab.platform',
            '--port',
            str(self._base_port),
        )

    def start_node(self, place: Place) -> None:
        """Start the node of a place."""
        path = self._directory / f'{place.node}.json'
        path.write_bytes(msgspec.json.encode(self._build_settings(place)))
        self._children.start(place.node, 'bluebellslip_node', str(path))

    def start_server(self, place: Place) -> None:
        """Start the backend server of a place."""
        flags = {
            '--listen': self.address(place, 4),
            '--admin': self.admin(place),
            '--token': SERVER_TOKEN,
            '--service': place.service,
            '--version': place.version,
            '--slots': str(place.slots),
            '--behaviour': msgspec.json.encode(place.behaviour).decode(),
            '--journal': str(self.journal(place)),
            '--seed': str(place.index),
        }
        self._children.start(
            place.server, 'bluebellslip_lab.backend', *chain(*flags.items())
        )

    def _build_settings(self, place: Place) -> NodeSettings:
        seeds = tuple(
            self.address(dataclasses.replace(place, index=index), 2)
            for index in range(_SEEDS)
            if index != place.index
        )
        return NodeSettings(
            node=place.name,
            mesh=self._name,
            region=place.region,
            failure_domain=place.failure_domain,
            listen=ListenSettings(
                egress=self.address(place, 0),
                ingress=self.address(place, 1),
                peer=self.address(place, 2),
                admin=self.address(place, 3),
            ),
            platform=PlatformSettings(
                table=self.platform, objects=self.platform
            ),
            peer_key=self._peer_key,
            seeds=seeds,
            tokens=(
                _build_token('ana', OPERATOR_TOKEN, ('read', 'apply', 'move')),
                _build_token('server', SERVER_TOKEN, ('announce',)),
            ),
            drain='10s',
        )


async def wait_answering(
    client: AdminClient, url: str, timeout: dt.timedelta
) -> bool:
    """Wait until an interface answers at all; false when it does not."""
    with anyio.move_on_after(timeout.total_seconds()):
        while not (await client.send('GET', url)).status:
            await anyio.sleep(_POLL.total_seconds())
        return True
    return False


def _build_token(
    holder: str, token: str, scopes: tuple[str, ...]
) -> TokenSettings:
    digest = hashlib.sha256(token.encode()).hexdigest()
    return TokenSettings(holder=holder, digest=digest, scopes=scopes)
