"""Three-way merge of configurations, by services touched."""

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
    """Return their document with our changes, or what both touch.

    A route touches the service that it belongs to, before and after; a
    class touches every service with a route of that class; the mesh's own
    fields touch everything. The references of the merged document are not
    checked here.
    """
    overlap = _intersect(find_touched(base, theirs), find_touched(base, ours))
    if overlap:
        return Error(overlap)
    return Ok(
        msgspec.structs.replace(
            theirs,
            mesh=_choose(base.mesh, theirs.mesh, ours.mesh),
            preference=_choose(
                base.preference, theirs.preference, ours.preference
            ),
            classes=_merge(base.classes, theirs.classes, ours.classes),
            services=_merge(base.services, theirs.services, ours.services),
            routes=_merge(base.routes, theirs.routes, ours.routes),
        )
    )


def find_touched(
    before: ConfigDocument, after: ConfigDocument
) -> frozenset[str]:
    """Return the names of services that differ, or ``*`` for all.

    A class without routes stands under its own name after ``class:``.
    """
    if (before.mesh, before.preference) != (after.mesh, after.preference):
        return frozenset((EVERYTHING,))
    touched = set(_differing(before.services, after.services))
    for route in _differing(before.routes, after.routes):
        touched.update(_services_of_route(route, (before, after)))
    for work in _differing(before.classes, after.classes):
        touched.add(f'class:{work}')
        touched.update(_services_of_class(work, (before, after)))
    return frozenset(touched)


def _intersect(theirs: frozenset[str], ours: frozenset[str]) -> frozenset[str]:
    if theirs and ours and EVERYTHING in theirs | ours:
        return frozenset((EVERYTHING,))
    return theirs & ours


def _services_of_route(
    name: str, documents: Iterable[ConfigDocument]
) -> Iterator[str]:
    for document in documents:
        for route in document.routes:
            if route.name == name:
                yield route.service


def _services_of_class(
    name: str, documents: Iterable[ConfigDocument]
) -> Iterator[str]:
    for document in documents:
        for route in document.routes:
            if route.work == name:
                yield route.service


def _differing(
    before: Iterable[_Spec], after: Iterable[_Spec]
) -> frozenset[str]:
    old, new = _index(before), _index(after)
    return frozenset(
        name
        for name in old.keys() | new.keys()
        if old.get(name) != new.get(name)
    )


def _merge(
    base: tuple[_Spec, ...],
    theirs: tuple[_Spec, ...],
    ours: tuple[_Spec, ...],
) -> tuple[_Spec, ...]:
    changed = _differing(base, ours)
    wanted = _index(ours)
    kept: list[_Spec | None] = [
        wanted.get(spec.name) if spec.name in changed else spec
        for spec in theirs
    ]
    present = {spec.name for spec in theirs}
    added: list[_Spec] = [
        spec
        for spec in ours
        if spec.name in changed and spec.name not in present
    ]
    return (*(spec for spec in kept if spec is not None), *added)


def _index(specs: Iterable[_Spec]) -> Mapping[str, _Spec]:
    return {spec.name: spec for spec in specs}


def _choose(base: _Part, theirs: _Part, ours: _Part) -> _Part:
    return theirs if ours == base else ours
