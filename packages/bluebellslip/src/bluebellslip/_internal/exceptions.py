"""The closed list of error kinds and the errors that carry them."""

import enum
from collections.abc import Mapping
from typing import ClassVar


@enum.unique
class ErrorKind(enum.StrEnum):
    """Every way in which the system can refuse or fail."""

    MALFORMED = 'malformed'
    TOO_LARGE = 'too-large'
    HEAD_TOO_LARGE = 'head-too-large'
    REQUEST_TIMEOUT = 'request-timeout'
    UNAUTHENTICATED = 'unauthenticated'
    FORBIDDEN = 'forbidden'
    NOT_FOUND = 'not-found'
    CONFLICT = 'conflict'
    INVALID_CONFIG = 'invalid-config'
    INVALID_SETTINGS = 'invalid-settings'
    UNKNOWN_KEY = 'unknown-key'
    MISSING_KEY = 'missing-key'
    DUPLICATE_KEY = 'duplicate-key'
    WRONG_TYPE = 'wrong-type'
    BAD_VALUE = 'bad-value'
    BAD_DURATION = 'bad-duration'
    DUPLICATE_NAME = 'duplicate-name'
    DANGLING_REFERENCE = 'dangling-reference'
    LISTEN_FAILED = 'listen-failed'
    NODE_UNREACHABLE = 'node-unreachable'
    KEY_MISSING = 'idempotency-key-missing'
    KEY_REUSED = 'idempotency-key-reused'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    OVERLOADED = 'overloaded'
    DRAINING = 'draining'
    VERSION_STOPPED = 'version-stopped'
    NO_SERVER = 'no-server'
    NOT_READY = 'not-ready'
    DEADLINE_EXCEEDED = 'deadline-exceeded'
    SERVER_FAILED = 'server-failed'
    PLATFORM_DOWN = 'platform-down'
    PLATFORM_UNKNOWN = 'platform-outcome-unknown'
    PLATFORM_GARBLED = 'platform-garbled'
    PEER_GARBLED = 'peer-garbled'
    INTERNAL = 'internal'


class BluebellError(Exception):
    """Base of all errors that the system raises on purpose.

    Parameters
    ----------
    message
        What went wrong, one sentence.
    context
        Where it went wrong: file, path in the document, key, address.
    hint
        What the reader can do about it.
    """

    kind: ClassVar[ErrorKind] = ErrorKind.INTERNAL

    def __init__(
        self,
        message: str,
        *,
        context: Mapping[str, str] | None = None,
        hint: str = '',
    ) -> None:
        super().__init__(message)
        self.message = message
        self.context = dict(context or {})
        self.hint = hint

    def __str__(self) -> str:
        where = ', '.join(
            f'{name}: {text}' for name, text in self.context.items()
        )
        parts = [self.message]
        if where:
            parts.append(f'({where})')
        if self.hint:
            parts.append(f'Hint: {self.hint}')
        return ' '.join(parts)


class MalformedError(BluebellError):
    """Input that can't be parsed."""

    kind = ErrorKind.MALFORMED


class TooLargeError(BluebellError):
    """Input over a stated bound."""

    kind = ErrorKind.TOO_LARGE


class HeadTooLargeError(BluebellError):
    """A request whose head is over the bound for heads."""

    kind = ErrorKind.HEAD_TOO_LARGE


class RequestTimeoutError(BluebellError):
    """A caller that took too long to send the head of a request."""

    kind = ErrorKind.REQUEST_TIMEOUT


class UnauthenticatedError(BluebellError):
    """No token, or one that nobody holds."""

    kind = ErrorKind.UNAUTHENTICATED


class ForbiddenError(BluebellError):
    """A token without the scope that the action needs."""

    kind = ErrorKind.FORBIDDEN


class NotFoundError(BluebellError):
    """A name that nothing answers to."""

    kind = ErrorKind.NOT_FOUND


class ConflictError(BluebellError):
    """A change that lost against another one."""

    kind = ErrorKind.CONFLICT


class InvalidConfigError(BluebellError):
    """A declared configuration that can't be applied."""

    kind = ErrorKind.INVALID_CONFIG


class UnknownKeyError(InvalidConfigError):
    """A key that the model of a document does not have."""

    kind = ErrorKind.UNKNOWN_KEY


class MissingKeyError(InvalidConfigError):
    """A key that the model of a document requires."""

    kind = ErrorKind.MISSING_KEY


class DuplicateKeyError(InvalidConfigError):
    """A key that stands twice in one object."""

    kind = ErrorKind.DUPLICATE_KEY


class WrongTypeError(InvalidConfigError):
    """A value of another type than the model's."""

    kind = ErrorKind.WRONG_TYPE


class BadValueError(InvalidConfigError):
    """A value of the right type that is not allowed."""

    kind = ErrorKind.BAD_VALUE


class BadDurationError(InvalidConfigError):
    """A duration that is no number with a unit."""

    kind = ErrorKind.BAD_DURATION


class DuplicateNameError(InvalidConfigError):
    """A name that stands twice where names must be unique."""

    kind = ErrorKind.DUPLICATE_NAME


class DanglingReferenceError(InvalidConfigError):
    """A reference to a name that is not there."""

    kind = ErrorKind.DANGLING_REFERENCE


class ListenError(BluebellError):
    """An address that the process can't listen at."""

    kind = ErrorKind.LISTEN_FAILED


class NodeUnreachableError(BluebellError):
    """No node that a command may ask can be reached."""

    kind = ErrorKind.NODE_UNREACHABLE


class InvalidSettingsError(BluebellError):
    """Settings of a process that can't be used."""

    kind = ErrorKind.INVALID_SETTINGS


class OutcomeUnknownError(BluebellError):
    """Work that may or may not have run; it is never run again."""

    kind = ErrorKind.OUTCOME_UNKNOWN


class OverloadedError(BluebellError):
    """Work refused before it ran, for want of room or time."""

    kind = ErrorKind.OVERLOADED


class DrainingError(BluebellError):
    """Work refused before it ran, since the server is leaving."""

    kind = ErrorKind.DRAINING


class NotReadyError(BluebellError):
    """The node holds no configuration that it may serve from yet."""

    kind = ErrorKind.NOT_READY


class PlatformDownError(BluebellError):
    """The platform refused or could not be reached; nothing took effect."""

    kind = ErrorKind.PLATFORM_DOWN


class PlatformOutcomeUnknownError(BluebellError):
    """The platform's answer was lost; a write may have taken effect."""

    kind = ErrorKind.PLATFORM_UNKNOWN


class PlatformGarbledError(BluebellError):
    """The platform answered what can't be an answer."""

    kind = ErrorKind.PLATFORM_GARBLED


class PeerGarbledError(BluebellError):
    """A message of a peer that can't be decoded or verified."""

    kind = ErrorKind.PEER_GARBLED


class IdempotencyKeyMissingError(BluebellError):
    """Once-only work without an idempotency key."""

    kind = ErrorKind.KEY_MISSING


class IdempotencyKeyReusedError(BluebellError):
    """An idempotency key that already stands for another request."""

    kind = ErrorKind.KEY_REUSED


class VersionStoppedError(BluebellError):
    """Work refused before it ran, since the version was taken back."""

    kind = ErrorKind.VERSION_STOPPED


class NoServerError(BluebellError):
    """Work refused before it ran, since no server could be reached."""

    kind = ErrorKind.NO_SERVER


class DeadlineExceededError(BluebellError):
    """Time ran out; work that was asked for may or may not have run."""

    kind = ErrorKind.DEADLINE_EXCEEDED


class ServerFailedError(BluebellError):
    """A server that broke off an exchange; it may or may not have run."""

    kind = ErrorKind.SERVER_FAILED
