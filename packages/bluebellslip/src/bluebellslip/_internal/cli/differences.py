"""Compares the classes, services and routes of two configurations by name."""

import dataclasses
import enum
from collections.abc import Iterator
from typing import Any, Final

import msgspec

from bluebellslip._internal.models.config import ConfigDocument

# Attributes of a configuration, and what one entry of each is called.
_PARTS: Final = (
    ('classes', 'class'),
    ('services', 'service'),
    ('routes', 'route'),
)


@enum.unique
class ChangeKind(enum.StrEnum):
    """How an entry differs."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


class FieldChange(msgspec.Struct, frozen=True):
    """A field whose value differs."""

    field: str
    old: str
    new: str


class Difference(msgspec.Struct, frozen=True):
    """A class, service or route that differs, or the mesh itself."""

    part: str
    name: str
    change: ChangeKind
    fields: tuple[FieldChange, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _SpecPair:
    """An entry of both documents, as built-in types; None if it is missing."""

    old: dict[str, Any] | None
    new: dict[str, Any] | None


def compare_documents(
    old: ConfigDocument, new: ConfigDocument
) -> tuple[Difference, ...]:
    """Return the differences: the mesh, then classes, services and routes."""
    mesh_changes = _compare_fields(
        {'mesh': old.mesh, 'preference': str(old.preference)},
        {'mesh': new.mesh, 'preference': str(new.preference)},
    )
    found = [
        difference
        for attribute, part in _PARTS
        for difference in _compare_part(
            part, getattr(old, attribute), getattr(new, attribute)
        )
    ]
    if mesh_changes:
        mesh = Difference('mesh', new.mesh, ChangeKind.CHANGED, mesh_changes)
        return (mesh, *found)
    return tuple(found)


def describe_difference(difference: Difference) -> list[str]:
    """Return one line for the entry and one for each changed field."""
    lines = [f'{difference.part} {difference.name}: {difference.change}']
    lines += [
        f'  {change.field}: {change.old} -> {change.new}'
        for change in difference.fields
    ]
    return lines


def _compare_part(part: str, old: Any, new: Any) -> Iterator[Difference]:
    old_specs = {spec.name: msgspec.to_builtins(spec) for spec in old}
    new_specs = {spec.name: msgspec.to_builtins(spec) for spec in new}
    for name in sorted(old_specs.keys() | new_specs.keys()):
        pair = _SpecPair(old_specs.get(name), new_specs.get(name))
        if pair.old != pair.new:
            yield _compare_pair(part, name, pair)


def _compare_pair(part: str, name: str, pair: _SpecPair) -> Difference:
    if pair.old is None:
        return Difference(part, name, ChangeKind.ADDED)
    if pair.new is None:
        return Difference(part, name, ChangeKind.REMOVED)
    return Difference(
        part, name, ChangeKind.CHANGED, _compare_fields(pair.old, pair.new)
    )


def _compare_fields(
    old: dict[str, Any], new: dict[str, Any], prefix: str = ''
) -> tuple[FieldChange, ...]:
    changes: list[FieldChange] = []
    for field, before in old.items():
        after = new.get(field)
        if before == after:
            continue
        if isinstance(before, dict) and isinstance(after, dict):
            changes += _compare_fields(before, after, f'{field}.')
        else:
            changes.append(
                FieldChange(f'{prefix}{field}', str(before), str(after))
            )
    return tuple(changes)
