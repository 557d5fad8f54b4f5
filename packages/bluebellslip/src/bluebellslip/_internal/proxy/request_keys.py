"""Takes the keys of client accounts out of requests.

A key is read once, at the node that gets the request from its caller, and then
removed from the request. Neither a server, another node, a log line nor an
error can show it afterwards.
"""

from typing import Final, Protocol

from bluebellslip._internal.calls.metadata_headers import MetadataHeaders
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.exceptions import UnauthenticatedError
from bluebellslip._internal.mesh.config_freshness import ConfigFreshness
from bluebellslip._internal.mesh.table import RoutingTable
from bluebellslip._internal.models.mesh import AccountRule, RouteRule

# Stands for a header that is repeated; no configuration has an empty key.
_NO_KEY: Final = b''


class KeyLease(Protocol):
    """Tells whether a configuration may decide about keys."""

    @property
    def is_strict(self) -> bool:
        """Whether the deployment asks for strict revocation."""

    def check(self, revision: int) -> None:
        """Check that a configuration may still accept keys.

        Raises
        ------
        NotReadyError
            When it may have been replaced for too long.
        """

    def check_final(self, revision: int) -> None:
        """Check that a configuration may refuse a key.

        Raises
        ------
        NotReadyError
            When a newer one may know the key.
        """


class RequestKeys:
    """Identifies the client accounts of requests.

    Parameters
    ----------
    freshness
        The active configuration, and what it may still decide.
    metadata_headers
        Names of the headers with the key and the account.
    lease
        Tells whether a configuration may decide about keys.
    """

    def __init__(
        self,
        freshness: ConfigFreshness,
        metadata_headers: MetadataHeaders,
        lease: KeyLease,
    ) -> None:
        self._freshness = freshness
        self._lease = lease
        self._key_name = metadata_headers.api_key
        # Whether the header with the key is the deployment's own, so that no
        # server may get it, also while the configuration has no accounts.
        self._has_keys = lease.is_strict
        self._names = frozenset((
            metadata_headers.api_key,
            metadata_headers.account,
        ))

    def identify(
        self, table: RoutingTable, rule: RouteRule, request: InboundRequest
    ) -> AccountRule | None:
        """Return the account of a request, and remove the key from it.

        None if the configuration has no accounts or the request has no key and
        needs none. Where no configuration had accounts, the request is left as
        it is.

        Raises
        ------
        UnauthenticatedError
            When the key is unknown, or missing where one is needed.
        NotReadyError
            When a newer configuration may know the key, or may have dropped it.
        """
        key = self._take_key(table, request)
        if not table.accounts.is_active:
            return None
        if key is not None:
            self._lease.check(table.config.revision)
        try:
            return table.accounts.identify(key, rule)
        except UnauthenticatedError:
            self._freshness.check_final()
            self._lease.check_final(table.config.revision)
            raise

    def strip(self, request: InboundRequest) -> None:
        """Remove what a peer without accounts has passed on from its caller."""
        table = self._freshness.table
        if table is not None:
            self._take_key(table, request)

    def _take_key(
        self, table: RoutingTable, request: InboundRequest
    ) -> bytes | None:
        """Return the key, empty if the header is repeated; none if missing."""
        self._has_keys = self._has_keys or table.accounts.is_active
        if not self._has_keys or self._names.isdisjoint(request.fields):
            return None
        keys = [
            text for name, text in request.headers if name == self._key_name
        ]
        request.headers = [
            header for header in request.headers if header[0] not in self._names
        ]
        for name in self._names:
            request.fields.pop(name, None)
        if not keys:
            return None
        return keys[0] if len(keys) == 1 else _NO_KEY
