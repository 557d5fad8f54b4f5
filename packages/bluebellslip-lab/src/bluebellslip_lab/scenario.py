"""Scenarios of experiments, read from JSON files with comments."""

from pathlib import Path
from typing import Annotated, Self

import msgspec

from bluebellslip._internal.models.config import Name
from bluebellslip._internal.utils.jsonc import load_document
from bluebellslip_lab.behaviour import Behaviour
from bluebellslip_lab.faults import Faults
from bluebellslip_lab.mesh import Instance
from bluebellslip_lab.traffic import CallClass

_Seconds = Annotated[float, msgspec.Meta(ge=0, le=3600)]
_Servers = Annotated[int, msgspec.Meta(ge=1, le=20)]


class _ScenarioPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the parts of a scenario; rejects unknown keys."""


class Group(_ScenarioPart, frozen=True):
    """Backend servers of one version, each with a node beside it.

    The servers are placed in the failure domains in rotation. They start
    ``at`` seconds after the start of the load, or before it if ``at`` is 0.
    """

    service: Name
    version: Name
    servers: _Servers
    failure_domains: tuple[Name, ...] = ('a', 'b', 'c')
    slots: Annotated[int, msgspec.Meta(ge=1)] = 12
    behaviour: Behaviour = Behaviour()
    at: _Seconds = 0


class Event(_ScenarioPart, frozen=True, tag_field='do'):
    """An event, ``at`` seconds after the start of the load."""

    at: _Seconds


class PlatformFaults(Event, frozen=True, tag='faults'):
    """Replaces the faults that the simulated platform injects."""

    faults: Faults


class ProcessEvent(Event, frozen=True):
    """Starts, stops, kills, suspends or resumes processes by name.

    Names are ``node-SERVICE-VERSION-N`` and ``server-SERVICE-VERSION-N``,
    where N numbers all servers of the scenario from 0.
    """

    processes: tuple[str, ...]


class Kill(ProcessEvent, frozen=True, tag='kill'):
    """Ends the processes by SIGKILL."""


class Freeze(ProcessEvent, frozen=True, tag='freeze'):
    """Suspends the processes until they are thawed."""


class Thaw(ProcessEvent, frozen=True, tag='thaw'):
    """Resumes frozen processes."""


class Stop(ProcessEvent, frozen=True, tag='stop'):
    """Ends the processes by SIGTERM, or by SIGKILL after a timeout."""


class Start(ProcessEvent, frozen=True, tag='start'):
    """Restarts processes that have ended."""


class Move(Event, frozen=True, tag='move'):
    """Requests a move of a service to a version within ``within_s`` seconds."""

    service: Name
    version: Name
    within_s: _Seconds


class Change(Event, frozen=True, tag='change'):
    """Changes the configuration by adding a service."""

    service: Name


SomeEvent = PlatformFaults | Kill | Freeze | Thaw | Stop | Start | Move | Change


class Scenario(_ScenarioPart, frozen=True):
    """One experiment.

    ``config`` is the path of the mesh's configuration file, relative to the
    working directory. ``seconds`` is the duration of the load.
    """

    name: Name
    config: str
    seconds: _Seconds
    groups: tuple[Group, ...]
    traffic: tuple[CallClass, ...]
    events: tuple[SomeEvent, ...] = ()
    seed: int = 1
    region: Name = 'lab'

    @classmethod
    def from_file(cls, path: Path) -> Self:
        """Load and validate a file; errors name the location in it."""
        return load_document(path, cls)

    def list_instances(self) -> dict[Group, tuple[Instance, ...]]:
        """Return the instances by group, numbered across all groups."""
        instances: dict[Group, tuple[Instance, ...]] = {}
        first_index = 0
        for group in self.groups:
            indexes = range(first_index, first_index + group.servers)
            instances[group] = tuple(
                self._make_instance(group, index, index - first_index)
                for index in indexes
            )
            first_index += group.servers
        return instances

    def _make_instance(
        self, group: Group, index: int, position: int
    ) -> Instance:
        domains = group.failure_domains
        return Instance(
            index=index,
            service=group.service,
            version=group.version,
            failure_domain=domains[position % len(domains)],
            region=self.region,
            slots=group.slots,
            behaviour=group.behaviour,
        )
