"""JSON bodies of the administration API."""

import datetime as dt
from typing import Annotated

import msgspec

from bluebellslip._internal.models.config import ConfigDocument, Count, Name
from bluebellslip._internal.models.settings import AddressText

ChangeId = Annotated[str, msgspec.Meta(min_length=8, max_length=128)]
Revision = Annotated[int, msgspec.Meta(ge=0)]


class _Request(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of request bodies: unknown keys are errors."""


class ErrorBody(msgspec.Struct, frozen=True):
    """An error: what went wrong, where, and what to do about it."""

    kind: str
    message: str
    context: dict[str, str] = {}
    hint: str = ''


class ApplyBody(_Request, frozen=True):
    """A change of the configuration; see ``ChangeRequest`` for the fields."""

    change: ChangeId
    document: ConfigDocument
    base: Revision | None = None


class AppliedBody(msgspec.Struct, frozen=True):
    """An accepted change; see ``Accepted`` for the fields."""

    revision: int
    digest: str
    replayed: bool = False
    rebased: bool = False


class ConfigBody(msgspec.Struct, frozen=True):
    """The configuration in force on the responding node."""

    revision: int
    digest: str
    document: ConfigDocument


class MoveBody(_Request, frozen=True):
    """A request to move a service; see ``MoveRequest`` for the fields."""

    new: Name
    deadline: Annotated[dt.datetime, msgspec.Meta(tz=True)]
    request: ChangeId


class BackendBody(_Request, frozen=True):
    """A backend server's announcement to the node beside it."""

    service: Name
    version: Name
    address: AddressText
    slots: Count
    connections: Count


class DoneBody(msgspec.Struct, frozen=True):
    """Confirmation of an action that has no other result."""

    done: bool = True


class RawBody(msgspec.Struct, frozen=True):
    """JSON that is already encoded."""

    raw: bytes
