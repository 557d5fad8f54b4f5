"""Three-way merge of configurations, with conflicts found per service."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Final, TypeVar

import msgspec
from expression import Error, Ok, Result

from bluebellslip._internal.models.config import (
    ClassSpec,
    ConfigDocument,
    RouteSpec,
    ServiceSpec,
)

EVERYTHING: Final = '*'

_Spec = TypeVar('_Spec', bound=ClassSpec | ServiceSpec | RouteSpec)
_Part = TypeVar('_Part')


def merge_documents(
    base: ConfigDocument, theirs: ConfigDocument, ours: ConfigDocument
) -> Result[ConfigDocument, frozenset[str]]:
    """Return ``theirs`` with the changes from ``base`` to ``ours`` applied.

    If both sides affect the same services or classes, returns an error with
    the names of these, in the form that ``find_affected`` uses. A changed
    route affects the services that it belongs to before and after the change.
    A changed class affects every service with a route of that class. A
    changed mesh name or preference affects everything. The references of the
    merged document are not checked here.
    """
    overlap = _find_overlap(
        find_affected(base, theirs), find_affected(base, ours)
    )
    if overlap:
        return Error(overlap)
    return Ok(
        msgspec.structs.replace(
            theirs,
            mesh=_merge_value(base.mesh, theirs.mesh, ours.mesh),
            preference=_merge_value(
                base.preference, theirs.preference, ours.preference
            ),
            classes=_merge_specs(base.classes, theirs.classes, ours.classes),
            services=_merge_specs(
                base.services, theirs.services, ours.services
            ),
            routes=_merge_specs(base.routes, theirs.routes, ours.routes),
        )
    )


def find_affected(
    before: ConfigDocument, after: ConfigDocument
) -> frozenset[str]:
    """Return the names of the services that a change affects; ``*`` for all.

    A changed class is also listed itself, as ``class:NAME``, because it may
    have no routes and so affect no service.
    """
    if (before.mesh, before.preference) != (after.mesh, after.preference):
        return frozenset((EVERYTHING,))
    affected = set(_find_changed_names(before.services, after.services))
    for route in _find_changed_names(before.routes, after.routes):
        affected.update(_list_route_services(route, (before, after)))
    for class_name in _find_changed_names(before.classes, after.classes):
        affected.add(f'class:{class_name}')
        affected.update(_list_class_services(class_name, (before, after)))
    return frozenset(affected)


def _find_overlap(
    theirs: frozenset[str], ours: frozenset[str]
) -> frozenset[str]:
    if theirs and ours and EVERYTHING in theirs | ours:
        return frozenset((EVERYTHING,))
    return theirs & ours


def _list_route_services(
    name: str, documents: Iterable[ConfigDocument]
) -> Iterator[str]:
    for document in documents:
        for route in document.routes:
            if route.name == name:
                yield route.service


def _list_class_services(
    name: str, documents: Iterable[ConfigDocument]
) -> Iterator[str]:
    for document in documents:
        for route in document.routes:
            if route.work == name:
                yield route.service


def _find_changed_names(
    before: Iterable[_Spec], after: Iterable[_Spec]
) -> frozenset[str]:
    old, new = _index_by_name(before), _index_by_name(after)
    return frozenset(
        name
        for name in old.keys() | new.keys()
        if old.get(name) != new.get(name)
    )


def _merge_specs(
    base: tuple[_Spec, ...],
    theirs: tuple[_Spec, ...],
    ours: tuple[_Spec, ...],
) -> tuple[_Spec, ...]:
    changed = _find_changed_names(base, ours)
    ours_by_name = _index_by_name(ours)
    merged: list[_Spec | None] = [
        ours_by_name.get(spec.name) if spec.name in changed else spec
        for spec in theirs
    ]
    present = {spec.name for spec in theirs}
    added: list[_Spec] = [
        spec
        for spec in ours
        if spec.name in changed and spec.name not in present
    ]
    return (*(spec for spec in merged if spec is not None), *added)


def _index_by_name(specs: Iterable[_Spec]) -> Mapping[str, _Spec]:
    return {spec.name: spec for spec in specs}


def _merge_value(base: _Part, theirs: _Part, ours: _Part) -> _Part:
    return theirs if ours == base else ours
