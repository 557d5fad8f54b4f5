"""Base class of the messages between nodes, and their registry."""

from typing import ClassVar, Final

import msgspec

from bluebellslip._internal.kernel.registry import Registry


class PeerMessage(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base class of all messages between nodes.

    Subclasses are frozen and ``array_like`` and have a short ``tag``, under
    which ``peer_messages.register`` registers them.
    """

    max_bytes: ClassVar[int] = 1400


peer_messages: Final[Registry[type[PeerMessage]]] = Registry('peer message')
