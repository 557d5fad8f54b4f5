"""Base class of the messages between nodes, and their registry."""

from typing import ClassVar, Final

import msgspec

from bluebellslip._internal.kernel.registry import Registry


class PeerMessage(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base class of all messages between nodes.

    Subclasses are frozen, ``array_like``, carry a short ``tag`` and are
    registered in ``peer_messages`` under that tag by its decorator.
    """

    max_bytes: ClassVar[int] = 1400


peer_messages: Final[Registry[type[PeerMessage]]] = Registry('peer message')
