"""A submitted change: its checks, and its state across attempts."""

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

MAX_DOCUMENT_BYTES: Final = 1 << 22  # 4 MiB

_CHANGE_NAME_PATTERN: Final = re.compile(r'[A-Za-z0-9._-]{1,128}')

_encoder = msgspec.msgpack.Encoder(order='deterministic')


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The row of the newest accepted configuration, and the row's version."""

    row: HeadRow
    version: int

    @classmethod
    def absent(cls) -> Self:
        """Return the head of a mesh that has no configuration yet."""
        return cls(HeadRow(revision=0, digest='', change=''), 0)


@dataclasses.dataclass(slots=True)
class Submission:
    """State of a change while the acceptor tries to commit it.

    ``base`` is the revision that the document was edited from. If the request
    states none, the revision of the first head passed to ``observe_head`` is
    used.
    ``in_doubt_head_version`` is the version of the head that a transaction
    of unknown outcome requires: the transaction can take effect only while
    the head still has this version.
    """

    request: ChangeRequest
    request_digest: str
    base: int | None
    in_doubt_head_version: int | None = None
    last_failure: BluebellError | None = None

    @property
    def should_give_up(self) -> bool:
        """Whether the platform is down and no transaction is in doubt."""
        is_unreachable = isinstance(self.last_failure, PlatformDownError)
        return is_unreachable and self.in_doubt_head_version is None

    @classmethod
    def from_request(cls, request: ChangeRequest) -> Self:
        """Check a request and build its submission.

        Raises
        ------
        MalformedError
            When the name of the change is invalid.
        TooLargeError
            When the document is larger than ``MAX_DOCUMENT_BYTES``.
        InvalidConfigError
            When two entries of the same list in the document have the same
            name, or a reference does not resolve.
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
                'The document is too large.',
                context={'found': f'{len(encoded)} bytes'},
                hint=f'The limit is {MAX_DOCUMENT_BYTES} bytes.',
            )
        check_document(request.document)
        return cls(request, compute_digest(encoded), request.base)

    def observe_head(self, head: Head) -> None:
        """Update the state after the change's own row was found absent.

        ``head`` was read before that row. A transaction that requires an
        older version of the head could no longer take effect when the row was
        read; since the row was absent, that transaction never took effect.
        """
        if (
            self.in_doubt_head_version is not None
            and self.in_doubt_head_version != head.version
        ):
            self.in_doubt_head_version = None
        if self.base is None:
            self.base = head.row.revision

    def check_resubmission(self, existing: ChangeRow) -> None:
        """Check that the change accepted under this name is this change.

        Raises
        ------
        ConflictError
            When the accepted change was submitted with another document.
        """
        if existing.request_digest != self.request_digest:
            raise ConflictError(
                'The name is already used by a different change.',
                context={
                    'change': existing.change,
                    'revision': str(existing.revision),
                },
                hint='Choose a new name for a new change.',
            )

    def build_error(self) -> BluebellError:
        """Return the error for a submission that was given up."""
        if self.in_doubt_head_version is not None:
            return PlatformOutcomeUnknownError(
                'The change may have been accepted.',
                context={'change': self.request.change},
                hint='Submit it again under the same name to find out.',
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
            'Another change was accepted before the last attempt to commit.',
            context={'change': self.request.change},
            hint='Submit it again.',
        )
