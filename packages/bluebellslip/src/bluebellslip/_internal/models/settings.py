"""Settings of one node, validated on input."""

from typing import Annotated, Final

import msgspec

from bluebellslip._internal.models.config import DurationText, Name

ADDRESS_PATTERN: Final = r'^.+:[0-9]{1,5}\Z'
URL_PATTERN: Final = '^https?://'
DIGEST_PATTERN: Final = r'^[0-9a-f]{64}\Z'

AddressText = Annotated[str, msgspec.Meta(pattern=ADDRESS_PATTERN)]
Url = Annotated[str, msgspec.Meta(pattern=URL_PATTERN)]


class _Setting(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of settings: unknown keys are errors."""


class ListenSettings(_Setting, frozen=True):
    """Addresses that the node listens on.

    ``egress`` receives calls from the node's own instance, ``ingress`` calls
    from other nodes, ``peer`` control messages over UDP and TCP and ``admin``
    requests of operators.
    """

    egress: AddressText
    ingress: AddressText
    peer: AddressText
    admin: AddressText


class PlatformSettings(_Setting, frozen=True):
    """The platform's table service and object store."""

    table: Url
    objects: Url
    timeout: DurationText = '2s'


class TokenSettings(_Setting, frozen=True):
    """A token's holder and scopes; only the token's digest is stored.

    ``digest`` is the SHA-256 of the token in hexadecimal. Scopes are
    ``read``, ``apply``, ``move``, ``announce`` or, limited to one team,
    ``apply:TEAM`` and ``move:TEAM``.
    """

    holder: Name
    digest: Annotated[str, msgspec.Meta(pattern=DIGEST_PATTERN)]
    scopes: tuple[str, ...]


class NodeSettings(_Setting, frozen=True):
    """Settings of one node.

    ``peer_key`` is the secret that all nodes of the mesh share. ``seeds`` are
    addresses of nodes through which this one may join the mesh. ``drain`` is
    the longest time to wait for work in flight when the node stops.
    """

    node: Name
    mesh: Name
    region: Name
    failure_domain: Name
    listen: ListenSettings
    platform: PlatformSettings
    peer_key: Annotated[str, msgspec.Meta(min_length=16)]
    seeds: tuple[AddressText, ...] = ()
    tokens: tuple[TokenSettings, ...] = ()
    drain: DurationText = '30s'
