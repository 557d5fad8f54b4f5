"""Accepted documents, read from the object store."""

from typing import Final

from bluebellslip._internal.exceptions import (
    ConflictError,
    InvalidConfigError,
    PlatformGarbledError,
)
from bluebellslip._internal.kernel.ports import ObjectStore
from bluebellslip._internal.models.config import SnapshotRecord
from bluebellslip._internal.models.rows import HeadRow
from bluebellslip._internal.utils.digests import decode_snapshot

MAX_REVISIONS_BEHIND: Final = 32


async def load_record(objects: ObjectStore, digest: str) -> SnapshotRecord:
    """Return a stored revision.

    Raises
    ------
    PlatformGarbledError
        When the object is absent or corrupt.
    """
    body = await objects.get(digest)
    if body is None:
        raise PlatformGarbledError(
            'An accepted configuration is not in the object store.',
            context={'digest': digest},
        )
    try:
        return decode_snapshot(body, digest).record
    except InvalidConfigError as error:
        raise PlatformGarbledError(
            error.message, context=error.context, hint=error.hint
        ) from error


async def load_base_and_newest(
    objects: ObjectStore, head: HeadRow, revision: int
) -> tuple[SnapshotRecord, SnapshotRecord]:
    """Return an earlier revision and the newest one.

    The earlier one is found by walking back from the newest.

    Raises
    ------
    ConflictError
        When the revision lies ahead of the newest or too far behind it.
    PlatformGarbledError
        When an object on the way is absent or corrupt.
    """
    revisions_behind = head.revision - revision
    if (
        revisions_behind < 0
        or revisions_behind > MAX_REVISIONS_BEHIND
        or revision < 1
    ):
        raise ConflictError(
            'The change was made from a revision that it can not be '
            'merged from.',
            context={'base': str(revision), 'revision': str(head.revision)},
            hint='Read the newest configuration and make the change again.',
        )
    newest = await load_record(objects, head.digest)
    record = newest
    while record.revision > revision:
        record = await load_record(objects, record.previous)
    return record, newest
