"""Base of the messages between nodes, and their registry."""

from typing import ClassVar, Final

import msgspec

from bluebellslip._internal.kernel.registry import Registry


class PeerMessage(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all messages between nodes.

    Subclasses are frozen, ``array_like``, carry a short ``tag`` and are
    entered into ``peer_messages`` under that tag by decorator.
    """

    max_bytes: ClassVar[int] = 1400


peer_messages: Final[Registry[type[PeerMessage]]] = Registry('peer message')
