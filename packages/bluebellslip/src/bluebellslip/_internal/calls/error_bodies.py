"""Encoding and decoding of errors as response bodies."""

from typing import Final

import msgspec

from bluebellslip._internal.exceptions import (
    BluebellError,
    ErrorKind,
    ServerFailedError,
)
from bluebellslip._internal.utils.decoding import DECODING_ERRORS

MAX_ERROR_BODY_BYTES: Final = 16 * 1024

_ERROR_TYPES: Final = {
    error_type.kind: error_type for error_type in BluebellError.__subclasses__()
}


class _ErrorBody(msgspec.Struct, frozen=True):
    kind: ErrorKind
    message: str
    context: dict[str, str] = {}
    hint: str = ''


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(_ErrorBody)


def encode_error(error: BluebellError) -> bytes:
    """Encode an error as a response body."""
    return _encoder.encode(
        _ErrorBody(error.kind, error.message, error.context, error.hint)
    )


def decode_error(body: bytes) -> BluebellError:
    """Decode the error that another node sent."""
    try:
        decoded = _decoder.decode(body)
    except DECODING_ERRORS as error:
        return ServerFailedError(
            "A node's error response cannot be decoded.",
            context={'found': str(error)},
        )
    error_type = _ERROR_TYPES.get(decoded.kind, BluebellError)
    return error_type(
        decoded.message, context=decoded.context, hint=decoded.hint
    )
