"""Configuration as the system uses it: checked, indexed and immutable."""

import dataclasses
import datetime as dt
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Final, Self

from bluebellslip._internal.exceptions import (
    DanglingReferenceError,
    DuplicateNameError,
)
from bluebellslip._internal.models.config import (
    ClassSpec,
    ConfigDocument,
    ExecutionSemantics,
    Preference,
    RouteSpec,
    SnapshotRecord,
)
from bluebellslip._internal.models.identity import RouteName, ServiceName
from bluebellslip._internal.utils.durations import parse_duration

_ANY_METHOD: Final = '*'


@dataclasses.dataclass(frozen=True, slots=True)
class WorkClass:
    """A class of work; see ``ClassSpec`` for the fields' meaning."""

    name: str
    target_latency: dt.timedelta
    target_fraction: float
    target_success: float
    timeout: dt.timedelta
    runs: ExecutionSemantics
    priority: int
    max_body_bytes: int

    @classmethod
    def from_spec(cls, spec: ClassSpec) -> Self:
        """Convert the declared form."""
        return cls(
            name=spec.name,
            target_latency=parse_duration(spec.target.latency),
            target_fraction=spec.target.fraction,
            target_success=spec.target.success,
            timeout=parse_duration(spec.timeout),
            runs=spec.runs,
            priority=spec.priority,
            max_body_bytes=spec.max_body_bytes,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route with its class of work resolved."""

    name: RouteName
    service: ServiceName
    path: str
    method: str
    work: WorkClass

    def accepts(self, method: str, path: str) -> bool:
        """Return whether a request belongs to the route."""
        if self.method not in {_ANY_METHOD, method}:
            return False
        prefix = self.path.rstrip('/')
        return path == prefix or path.startswith((f'{prefix}/', f'{prefix}?'))


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """One revision of a mesh's configuration, all references checked."""

    revision: int
    digest: str
    mesh: str
    preference: Preference
    routes: Mapping[ServiceName, tuple[Route, ...]]
    record: SnapshotRecord

    @classmethod
    def from_record(cls, record: SnapshotRecord, digest: str) -> Self:
        """Build a snapshot, or reject the record as a whole.

        Raises
        ------
        InvalidConfigError
            When a name occurs twice or a route's reference does not resolve.
        """
        document = record.document
        check_document(document)
        work_classes = {
            spec.name: WorkClass.from_spec(spec) for spec in document.classes
        }
        by_service: dict[ServiceName, list[Route]] = {
            ServiceName(service.name): [] for service in document.services
        }
        for spec in _longest_first(document.routes):
            service = ServiceName(spec.service)
            by_service[service].append(
                Route(
                    name=RouteName(spec.name),
                    service=service,
                    path=spec.path,
                    method=spec.method,
                    work=work_classes[spec.work],
                )
            )
        return cls(
            revision=record.revision,
            digest=digest,
            mesh=document.mesh,
            preference=document.preference,
            routes=MappingProxyType({
                service: tuple(routes) for service, routes in by_service.items()
            }),
            record=record,
        )

    def match(
        self, service: ServiceName, method: str, path: str
    ) -> Route | None:
        """Return the route that matches a request; the longest path wins."""
        for route in self.routes.get(service, ()):
            if route.accepts(method, path):
                return route
        return None


def check_document(document: ConfigDocument) -> None:
    """Check that names are unique and every reference resolves.

    Raises
    ------
    InvalidConfigError
        When a name occurs twice or a reference does not resolve.
    """
    for part in ('classes', 'services', 'routes'):
        _check_unique(part, [spec.name for spec in getattr(document, part)])
    services = {service.name for service in document.services}
    work_classes = {work.name for work in document.classes}
    for index, route in enumerate(document.routes):
        _check_known(f'$.routes[{index}].service', route.service, services)
        _check_known(f'$.routes[{index}].work', route.work, work_classes)


def _check_unique(part: str, names: list[str]) -> None:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            raise DuplicateNameError(
                'A name occurs twice.',
                context={'path': f'$.{part}[{index}].name', 'found': name},
                hint=f'Names in {part} must be unique.',
            )
        seen.add(name)


def _check_known(path: str, name: str, known: set[str]) -> None:
    if name not in known:
        allowed = ', '.join(sorted(known))
        raise DanglingReferenceError(
            'A reference does not resolve.',
            context={'path': path, 'found': name},
            hint=f'Allowed are: {allowed}',
        )


def _longest_first(routes: Iterable[RouteSpec]) -> list[RouteSpec]:
    return sorted(
        routes,
        key=lambda spec: (
            -len(spec.path),
            spec.method == _ANY_METHOD,
            spec.name,
        ),
    )
