"""Reads accepted revisions from the object store."""

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
    """Return the record that is stored under a digest.

    Raises
    ------
    PlatformGarbledError
        When the object is missing or corrupt.
    """
    body = await objects.get(digest)
    if body is None:
        raise PlatformGarbledError(
            'An accepted configuration is missing from the object store.',
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
    """Return the records of an earlier revision and of the newest one.

    Finds the earlier one by following the digests of previous records.

    Raises
    ------
    ConflictError
        When the revision is below 1, newer than the newest one, or more than
        ``MAX_REVISIONS_BEHIND`` revisions behind it.
    PlatformGarbledError
        When one of the objects is missing or corrupt.
    """
    revisions_behind = head.revision - revision
    if (
        revisions_behind < 0
        or revisions_behind > MAX_REVISIONS_BEHIND
        or revision < 1
    ):
        raise ConflictError(
            'The change is based on a revision that cannot be merged '
            'with the newest one.',
            context={'base': str(revision), 'revision': str(head.revision)},
            hint='Read the newest configuration and make the change again.',
        )
    newest = await load_record(objects, head.digest)
    record = newest
    while record.revision > revision:
        record = await load_record(objects, record.previous)
    return record, newest
