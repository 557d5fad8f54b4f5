"""One change on its way: what is checked before, and what is known of it."""

import dataclasses
import re
from typing import Final, Self

import msgspec

from bluebellslip._internal.exceptions import (
    BluebellError,
    ConflictError,
    MalformedError,
    PlatformDownError,
    PlatformGarbledError,
    PlatformOutcomeUnknownError,
    TooLargeError,
)
from bluebellslip._internal.kernel.services import ChangeRequest
from bluebellslip._internal.models.rows import ChangeRow, HeadRow
from bluebellslip._internal.models.snapshot import check_document
from bluebellslip._internal.utils.digests import compute_digest

MAX_DOCUMENT_BYTES: Final = 1 << 22

_CHANGE_NAME_PATTERN: Final = re.compile(r'[A-Za-z0-9._-]{1,128}')

_encoder = msgspec.msgpack.Encoder(order='deterministic')


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The newest accepted configuration, and its row's version."""

    row: HeadRow
    version: int

    @classmethod
    def absent(cls) -> Self:
        """Return the head of a mesh that has no configuration yet."""
        return cls(HeadRow(revision=0, digest='', change=''), 0)


@dataclasses.dataclass(slots=True)
class Submission:
    """What the acceptor knows of a change while it tries to commit it.

    ``base`` is the revision that the document was made from, once known.
    ``unsettled`` is the head's version that a transaction of unknown outcome
    depends on: it can take effect only while the head stands there.
    """

    request: ChangeRequest
    request_digest: str
    base: int | None
    in_doubt_head_version: int | None = None
    last_failure: BluebellError | None = None

    @property
    def should_give_up(self) -> bool:
        """Whether the platform is away and nothing is left to settle."""
        is_unreachable = isinstance(self.last_failure, PlatformDownError)
        return is_unreachable and self.in_doubt_head_version is None

    @classmethod
    def from_request(cls, request: ChangeRequest) -> Self:
        """Check a request before anything is read or written.

        Raises
        ------
        MalformedError
            When the change's name is not one.
        TooLargeError
            When the document is longer than ``MAX_DOCUMENT_BYTES``.
        InvalidConfigError
            When a reference of the document doesn't hold.
        """
        if not _CHANGE_NAME_PATTERN.fullmatch(request.change):
            raise MalformedError(
                'The name of a change must be 1 to 128 letters, digits, '
                'dots, dashes or underscores.',
                context={'found': repr(request.change[:128])},
            )
        encoded = _encoder.encode(request.document)
        if len(encoded) > MAX_DOCUMENT_BYTES:
            raise TooLargeError(
                'The document is too long.',
                context={'found': f'{len(encoded)} bytes'},
                hint=f'Allowed are {MAX_DOCUMENT_BYTES} bytes.',
            )
        check_document(request.document)
        return cls(request, compute_digest(encoded), request.base)

    def observe_head(self, head: Head) -> None:
        """Take in the head, read before the change's own row was absent.

        A transaction that depends on an older version of the head can no
        longer take effect; since the change's row was absent afterwards, it
        never did.
        """
        if (
            self.in_doubt_head_version is not None
            and self.in_doubt_head_version != head.version
        ):
            self.in_doubt_head_version = None
        if self.base is None:
            self.base = head.row.revision

    def check_resubmission(self, existing: ChangeRow) -> None:
        """Pass a change that was accepted earlier, if it is this one.

        Raises
        ------
        ConflictError
            When the name stands for a change of other content.
        """
        if existing.request_digest != self.request_digest:
            raise ConflictError(
                'The name of this change stands for another one.',
                context={
                    'change': existing.change,
                    'revision': str(existing.revision),
                },
                hint='Choose a new name for a new change.',
            )

    def build_error(self) -> BluebellError:
        """Return the error of a submission that was given up."""
        if self.in_doubt_head_version is not None:
            return PlatformOutcomeUnknownError(
                'The change may have been accepted.',
                context={'change': self.request.change},
                hint='Submit it again under the same name to learn.',
            )
        if isinstance(self.last_failure, PlatformGarbledError):
            return self.last_failure
        if self.last_failure is not None:
            return PlatformDownError(
                self.last_failure.message,
                context=self.last_failure.context,
                hint='The change was not accepted; submit it again later.',
            )
        return ConflictError(
            'Other changes kept winning.',
            context={'change': self.request.change},
            hint='Submit it again.',
        )
