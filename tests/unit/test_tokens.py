"""A holder's tokens can be replaced one by one; team scopes stay separate.

Guards against a header that is accepted without a valid token, and against a
team's scope that applies to other teams.
"""

import pytest

from bluebellslip._internal.admin.tokens import Scope, TokenAuthenticator
from bluebellslip._internal.exceptions import (
    ForbiddenError,
    UnauthenticatedError,
)
from lib.admin_fakes import make_token_settings

_AUTHENTICATOR = TokenAuthenticator.from_settings([
    make_token_settings('ana', 'old-token', 'read', 'move'),
    make_token_settings('ana', 'new-token', 'read', 'move'),
    make_token_settings('printers', 'print-token', 'apply:print', 'move:print'),
])


@pytest.mark.parametrize('token', ['old-token', 'new-token'])
def test_holder_may_have_several_tokens(token: str) -> None:
    assert _AUTHENTICATOR.authenticate(f'Bearer {token}').name == 'ana'
    assert _AUTHENTICATOR.authenticate(f'bearer  {token} ').name == 'ana'


@pytest.mark.parametrize(
    'header',
    [
        '',
        'Bearer',
        'Bearer ',
        'old-token',
        'Basic old-token',
        'Bearer OLD-TOKEN',
    ],
)
def test_malformed_or_unknown_token_is_refused(header: str) -> None:
    with pytest.raises(UnauthenticatedError):
        _AUTHENTICATOR.authenticate(header)


def test_scope_of_one_team_does_not_reach_another() -> None:
    holder = _AUTHENTICATOR.authenticate('Bearer print-token')
    holder.require_team(Scope.MOVE, 'print')
    assert not holder.allows_all_teams(Scope.MOVE)
    with pytest.raises(ForbiddenError):
        holder.require_team(Scope.MOVE, 'shop')
    with pytest.raises(ForbiddenError):
        holder.require_scope(Scope.READ)


def test_token_is_refused_when_none_is_configured() -> None:
    with pytest.raises(UnauthenticatedError):
        TokenAuthenticator(()).authenticate('Bearer old-token')
