"""Encoding of peer messages, each preceded by an authentication tag."""

import functools
import hashlib
import hmac
import operator
from typing import Any, Final, Self

import msgspec

from bluebellslip._internal.exceptions import (
    PeerGarbledError,
    TooLargeError,
)
from bluebellslip._internal.models.messages import PeerMessage, peer_messages
from bluebellslip._internal.utils.decoding import DECODING_ERRORS

TAG_BYTES: Final = 16

_KEY_BYTES: Final = 32


class PeerCodec:
    """Encodes messages as MessagePack and authenticates them by a key.

    The tag in front of each message is a keyed BLAKE2b hash of the encoded
    message. It proves that the sender holds the mesh's key; the content is
    not encrypted.

    Parameters
    ----------
    key
        Secret that all nodes of a mesh share.
    kinds
        Message types that may be decoded.
    """

    def __init__(self, key: str, kinds: tuple[type[PeerMessage], ...]) -> None:
        self._key = hashlib.blake2b(
            key.encode(), digest_size=_KEY_BYTES
        ).digest()
        union: Any = functools.reduce(operator.or_, kinds)
        self._decoder: msgspec.msgpack.Decoder[PeerMessage] = (
            msgspec.msgpack.Decoder(union)
        )
        self._encoder = msgspec.msgpack.Encoder()

    @classmethod
    def from_registry(cls, key: str) -> Self:
        """Build a codec for all messages that are registered so far."""
        return cls(
            key, tuple(peer_messages.find(name) for name in peer_messages)
        )

    def encode(self, message: PeerMessage) -> bytes:
        """Return the tag and the encoded message.

        Raises
        ------
        TooLargeError
            When the message exceeds its type's size limit.
        """
        body = self._encoder.encode(message)
        if len(body) + TAG_BYTES > message.max_bytes:
            raise TooLargeError(
                'A message between nodes exceeds its size limit.',
                context={
                    'message': type(message).__name__,
                    'bytes': str(len(body)),
                },
            )
        return self._sign(body) + body

    def decode(self, packet: bytes) -> PeerMessage:
        """Check the tag and decode the message.

        Raises
        ------
        PeerGarbledError
            When the tag is wrong, the content is not a message, or the packet
            exceeds the size limit of the message's type.
        """
        body = packet[TAG_BYTES:]
        if not hmac.compare_digest(packet[:TAG_BYTES], self._sign(body)):
            raise PeerGarbledError(
                'A message between nodes has a wrong authentication tag.',
                hint='All nodes of a mesh need the same peer_key.',
            )
        try:
            message = self._decoder.decode(body)
        except DECODING_ERRORS as error:
            raise PeerGarbledError(
                'A message between nodes cannot be decoded.',
                context={'found': str(error)},
            ) from error
        if len(packet) > message.max_bytes:
            raise PeerGarbledError(
                'A message between nodes exceeds its size limit.',
                context={'message': type(message).__name__},
            )
        return message

    def _sign(self, body: bytes) -> bytes:
        return hashlib.blake2b(
            body, digest_size=TAG_BYTES, key=self._key
        ).digest()
