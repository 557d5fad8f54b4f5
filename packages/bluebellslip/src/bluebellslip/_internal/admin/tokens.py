"""Authentication by tokens, and the scopes of token holders."""

import dataclasses
import enum
import hashlib
import hmac
from collections.abc import Iterable
from typing import Final, Self

from bluebellslip._internal.exceptions import (
    ForbiddenError,
    UnauthenticatedError,
)
from bluebellslip._internal.models.settings import TokenSettings

_SCHEME: Final = 'bearer'
_TEAM_SEPARATOR: Final = ':'


@enum.unique
class Scope(enum.StrEnum):
    """A permission of a token."""

    READ = 'read'
    APPLY = 'apply'
    MOVE = 'move'
    ANNOUNCE = 'announce'


@dataclasses.dataclass(frozen=True, slots=True)
class TokenHolder:
    """The holder of a token and the token's scopes.

    ``scopes`` apply to every team; ``team_scopes`` are pairs of a scope and
    the team that it applies to.
    """

    name: str
    scopes: frozenset[str]
    team_scopes: frozenset[tuple[str, str]] = frozenset()

    @classmethod
    def from_settings(cls, settings: TokenSettings) -> Self:
        """Build a holder; scopes that name a team become team scopes."""
        pairs = [scope.partition(_TEAM_SEPARATOR) for scope in settings.scopes]
        return cls(
            name=settings.holder,
            scopes=frozenset(scope for scope, _, team in pairs if not team),
            team_scopes=frozenset(
                (scope, team) for scope, _, team in pairs if team
            ),
        )

    def teams(self, scope: Scope) -> frozenset[str]:
        """Return the teams for which the scope is granted individually."""
        return frozenset(
            team for name, team in self.team_scopes if name == scope
        )

    def allows_all_teams(self, scope: Scope) -> bool:
        """Return whether a scope is granted for every team."""
        return scope in self.scopes

    def require_scope(self, scope: Scope) -> None:
        """Check that a scope is granted for every team or at least for one.

        Raises
        ------
        ForbiddenError
            If the token does not have the scope.
        """
        if not self.allows_all_teams(scope) and not self.teams(scope):
            raise ForbiddenError(
                'The token does not have the required scope.',
                context={'holder': self.name, 'needed': scope},
                hint=f'Use a token with the scope {scope}.',
            )

    def require_team(self, scope: Scope, team: str) -> None:
        """Check that a scope is granted for one team's services.

        Raises
        ------
        ForbiddenError
            If the token does not have the scope for the team.
        """
        if self.allows_all_teams(scope) or team in self.teams(scope):
            return
        raise ForbiddenError(
            'The token does not have the scope for this team.',
            context={'holder': self.name, 'needed': f'{scope}:{team}'},
            hint=f'Ask the team {team}, or use a token with the scope {scope}.',
        )


class TokenAuthenticator:
    """Authenticates tokens by their digests.

    Parameters
    ----------
    entries
        Pairs of a token's SHA-256 in hexadecimal and its holder. A holder
        may have several tokens, so that they can be rotated one by one.
    """

    def __init__(self, entries: Iterable[tuple[str, TokenHolder]]) -> None:
        self._entries = tuple(
            (bytes.fromhex(digest), holder) for digest, holder in entries
        )

    @classmethod
    def from_settings(cls, tokens: Iterable[TokenSettings]) -> Self:
        """Build the authenticator from the tokens in a node's settings."""
        return cls(
            (token.digest, TokenHolder.from_settings(token)) for token in tokens
        )

    def authenticate(self, authorization: str) -> TokenHolder:
        """Return the holder of the token in an Authorization header.

        Every entry is compared, in constant time, so that the duration
        reveals nothing about the digests.

        Raises
        ------
        UnauthenticatedError
            If the header has no bearer token, or the token is unknown.
        """
        scheme, _, token = authorization.strip().partition(' ')
        if scheme.lower() != _SCHEME or not token:
            raise UnauthenticatedError(
                'The request has no token.',
                hint='Send "Authorization: Bearer TOKEN".',
            )
        presented = hashlib.sha256(token.strip().encode()).digest()
        found: TokenHolder | None = None
        for digest, holder in self._entries:
            if hmac.compare_digest(digest, presented):
                found = holder
        if found is None:
            raise UnauthenticatedError(
                'The token is unknown.',
                hint='Check the token, and the tokens in the node settings.',
            )
        return found
