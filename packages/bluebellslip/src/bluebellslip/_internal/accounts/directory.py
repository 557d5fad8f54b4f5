"""Finds the client account of a key."""

import hashlib
from collections.abc import Sequence
from typing import Self

from bluebellslip._internal.exceptions import UnauthenticatedError
from bluebellslip._internal.models.mesh import (
    AccountRule,
    MeshConfig,
    RouteRule,
)


class AccountDirectory:
    """The client accounts of a configuration by the digests of their keys.

    Keys are looked up by SHA-256 digest, so that a lookup takes the same time
    for any number of accounts, and its duration tells nothing about the keys.

    Parameters
    ----------
    accounts
        The accounts; none if requests need no key.
    """

    def __init__(self, accounts: Sequence[AccountRule] | None) -> None:
        self._is_active = accounts is not None
        self._accounts = {
            digest: account
            for account in accounts or ()
            for digest in account.key_digests
        }

    @property
    def is_active(self) -> bool:
        """Whether requests need a key."""
        return self._is_active

    @classmethod
    def from_config(cls, config: MeshConfig) -> Self:
        """Build the directory of a configuration."""
        return cls(config.accounts)

    def identify(
        self, key: bytes | None, rule: RouteRule
    ) -> AccountRule | None:
        """Return the account of a request; none if it needs no key.

        Parameters
        ----------
        key
            The key that the request carries; none if it carries none.
        rule
            The route of the request.

        Raises
        ------
        UnauthenticatedError
            When the key is unknown, or missing where one is needed.
        """
        if key is None:
            if rule.allow_anonymous:
                return None
            raise UnauthenticatedError(
                'The request needs the key of a client account.',
                context={'route': rule.name},
            )
        account = self._accounts.get(hashlib.sha256(key).digest())
        if account is None:
            raise UnauthenticatedError(
                'The key of the request belongs to no client account.',
                context={'route': rule.name},
            )
        return account
