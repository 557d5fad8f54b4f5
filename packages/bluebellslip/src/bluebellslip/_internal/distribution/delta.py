"""Deltas between two revisions of a configuration."""

from collections.abc import Iterable
from typing import Final, Generic, TypeVar

import msgspec

from bluebellslip._internal.exceptions import InvalidConfigError
from bluebellslip._internal.models.config import (
    ClassSpec,
    ConfigDocument,
    Preference,
    RouteSpec,
    ServiceSpec,
    SnapshotRecord,
)
from bluebellslip._internal.utils.decoding import DECODING_ERRORS

_Spec = TypeVar('_Spec', ClassSpec, RouteSpec, ServiceSpec)


class PartDelta(msgspec.Struct, Generic[_Spec], frozen=True, array_like=True):
    """Changes to one list of entries.

    ``removed`` holds the names of removed entries. ``placed`` holds the added
    and changed entries, each with its position in the new list.
    """

    removed: tuple[str, ...]
    placed: tuple[tuple[int, _Spec], ...]


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """Changes that turn the base revision into another one."""

    base: int
    base_digest: str
    revision: int
    digest: str
    previous: str
    mesh: str
    preference: Preference
    classes: PartDelta[ClassSpec]
    services: PartDelta[ServiceSpec]
    routes: PartDelta[RouteSpec]


_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(Delta)


def build_delta(
    base: SnapshotRecord,
    base_digest: str,
    record: SnapshotRecord,
    digest: str,
) -> bytes | None:
    """Return the encoded delta, or None if no delta yields the record.

    A delta cannot change the order of unchanged entries.
    """
    old, new = base.document, record.document
    delta = Delta(
        base=base.revision,
        base_digest=base_digest,
        revision=record.revision,
        digest=digest,
        previous=record.previous,
        mesh=new.mesh,
        preference=new.preference,
        classes=_build_part(old.classes, new.classes),
        services=_build_part(old.services, new.services),
        routes=_build_part(old.routes, new.routes),
    )
    if _build_record(base, delta) != record:
        return None
    return _encoder.encode(delta)


def decode_delta(encoded: bytes) -> Delta:
    """Decode a delta.

    Raises
    ------
    InvalidConfigError
        When it cannot be decoded.
    """
    try:
        return _decoder.decode(encoded)
    except DECODING_ERRORS as error:
        raise InvalidConfigError(
            'A delta cannot be decoded.', context={'found': str(error)}
        ) from error


def apply_delta(
    base: SnapshotRecord, base_digest: str, delta: Delta
) -> SnapshotRecord:
    """Return the record that results from applying a delta to its base.

    Raises
    ------
    InvalidConfigError
        When the delta is based on another revision or digest.
    """
    if (base.revision, base_digest) != (delta.base, delta.base_digest):
        raise InvalidConfigError(
            'A delta is not based on the applied configuration.',
            context={
                'found': str(delta.base),
                'in force': str(base.revision),
            },
        )
    return _build_record(base, delta)


def _build_record(base: SnapshotRecord, delta: Delta) -> SnapshotRecord:
    document = base.document
    return SnapshotRecord(
        revision=delta.revision,
        previous=delta.previous,
        document=ConfigDocument(
            mesh=delta.mesh,
            preference=delta.preference,
            classes=_apply_part(document.classes, delta.classes),
            services=_apply_part(document.services, delta.services),
            routes=_apply_part(document.routes, delta.routes),
        ),
    )


def _build_part(old: Iterable[_Spec], new: Iterable[_Spec]) -> PartDelta[_Spec]:
    before = {spec.name: spec for spec in old}
    after = {spec.name for spec in new}
    return PartDelta(
        removed=tuple(name for name in before if name not in after),
        placed=tuple(
            (index, spec)
            for index, spec in enumerate(new)
            if before.get(spec.name) != spec
        ),
    )


def _apply_part(
    specs: tuple[_Spec, ...], delta: PartDelta[_Spec]
) -> tuple[_Spec, ...]:
    dropped = {*delta.removed, *(spec.name for _, spec in delta.placed)}
    changed = [spec for spec in specs if spec.name not in dropped]
    for index, spec in delta.placed:
        changed.insert(index, spec)
    return tuple(changed)
