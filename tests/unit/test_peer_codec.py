"""Encoding and authentication of the messages between nodes.

Guards against messages that were corrupted, forged or sent by another mesh,
and against messages beyond their size limit.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellslip._internal.exceptions import PeerGarbledError, TooLargeError
from bluebellslip._internal.membership.messages import Ping
from bluebellslip._internal.models.identity import NodeId
from bluebellslip._internal.peers.codec import TAG_BYTES, PeerCodec

_PING = Ping(1, NodeId('node-1'), NodeId('node-2'), 7)
_CODEC = PeerCodec('a key of sixteen bytes', (Ping,))


def test_an_encoded_message_decodes_to_itself() -> None:
    assert _CODEC.decode(_CODEC.encode(_PING)) == _PING


@settings(derandomize=True)
@given(position=st.integers(0), flip=st.integers(1, 255))
def test_a_changed_byte_is_refused(position, flip) -> None:
    packet = bytearray(_CODEC.encode(_PING))
    packet[position % len(packet)] ^= flip
    with pytest.raises(PeerGarbledError):
        _CODEC.decode(bytes(packet))


@settings(derandomize=True)
@given(st.binary(max_size=200))
def test_noise_is_refused(noise) -> None:
    with pytest.raises(PeerGarbledError):
        _CODEC.decode(noise)


def test_a_message_signed_with_another_key_is_refused() -> None:
    other = PeerCodec('another key of sixteen bytes', (Ping,))
    with pytest.raises(PeerGarbledError):
        _CODEC.decode(other.encode(_PING))


def test_long_messages_are_refused_on_both_sides() -> None:
    long = Ping(1, NodeId('n' * Ping.max_bytes), NodeId('node-2'), 7)
    with pytest.raises(TooLargeError):
        _CODEC.encode(long)
    body = _CODEC._encoder.encode(long)
    packet = _CODEC._sign(body) + body
    assert len(packet) > Ping.max_bytes + TAG_BYTES
    with pytest.raises(PeerGarbledError):
        _CODEC.decode(packet)
