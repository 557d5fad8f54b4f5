"""Encoding and decoding of errors as response bodies."""

from typing import Final

import msgspec

from bluebellslip._internal.exceptions import (
    BluebellError,
    ErrorKind,
    ServerFailedError,
)

MAX_ERROR_BODY_BYTES: Final = 16 * 1024

_BY_KIND: Final = {kind.kind: kind for kind in BluebellError.__subclasses__()}


class _Refusal(msgspec.Struct, frozen=True):
    kind: ErrorKind
    message: str
    context: dict[str, str] = {}
    hint: str = ''


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(_Refusal)


def encode_error(error: BluebellError) -> bytes:
    """Encode an error as a response body."""
    return _encoder.encode(
        _Refusal(error.kind, error.message, error.context, error.hint)
    )


def decode_error(body: bytes) -> BluebellError:
    """Decode the error that another node sent."""
    try:
        refusal = _decoder.decode(body)
    except msgspec.MsgspecError as error:
        return ServerFailedError(
            "A node's error response can not be decoded.",
            context={'found': str(error)},
        )
    kind = _BY_KIND.get(refusal.kind, BluebellError)
    return kind(refusal.message, context=refusal.context, hint=refusal.hint)
