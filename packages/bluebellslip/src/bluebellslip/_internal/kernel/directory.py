"""Index of backend servers by service, derived from member facts."""

import dataclasses
from collections import defaultdict
from collections.abc import Callable
from typing import Final

from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.models.facts import (
    Backend,
    MemberFact,
    MemberStatus,
)
from bluebellslip._internal.models.identity import (
    Address,
    Locality,
    NodeId,
    ServiceName,
)

_ROUTABLE_STATUSES: Final = frozenset((
    MemberStatus.ALIVE,
    MemberStatus.SUSPECT,
))


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A backend server that may get new work, reached through its node."""

    node: NodeId
    incarnation: int
    ingress: Address
    locality: Locality
    backend: Backend
    suspect: bool


class Directory:
    """Index of the endpoints of every service.

    Parameters
    ----------
    facts
        Store that the member facts come from.
    """

    def __init__(self, facts: FactStore) -> None:
        self._by_service: dict[ServiceName, dict[NodeId, Endpoint]] = (
            defaultdict(dict)
        )
        self._service_of: dict[NodeId, ServiceName] = {}
        self._endpoints: dict[ServiceName, tuple[Endpoint, ...]] = {}
        self._listeners: list[Callable[[ServiceName], None]] = []
        facts.subscribe(MemberFact, self._update)

    def endpoints(self, service: ServiceName) -> tuple[Endpoint, ...]:
        """Return the endpoints of a service, possibly none."""
        return self._endpoints.get(service, ())

    def subscribe(self, listener: Callable[[ServiceName], None]) -> None:
        """Call the listener after each update of a service's endpoints."""
        self._listeners.append(listener)

    def _update(self, fact: MemberFact) -> None:
        previous = self._service_of.pop(fact.node, None)
        if previous is not None:
            self._by_service[previous].pop(fact.node, None)
            self._rebuild(previous)
        if fact.backend is None or fact.status not in _ROUTABLE_STATUSES:
            return
        service = fact.backend.service
        self._service_of[fact.node] = service
        self._by_service[service][fact.node] = Endpoint(
            node=fact.node,
            incarnation=fact.incarnation,
            ingress=fact.ingress,
            locality=fact.locality,
            backend=fact.backend,
            suspect=fact.status is MemberStatus.SUSPECT,
        )
        self._rebuild(service)

    def _rebuild(self, service: ServiceName) -> None:
        self._endpoints[service] = tuple(self._by_service[service].values())
        for listener in self._listeners:
            listener(service)
