"""Checks a configuration change against a token holder's team scopes."""

from collections.abc import Iterable
from typing import TypeVar

from bluebellslip._internal.admin.tokens import Scope, TokenHolder
from bluebellslip._internal.exceptions import ForbiddenError
from bluebellslip._internal.models.config import (
    ConfigDocument,
    RouteSpec,
    ServiceSpec,
)

_Spec = TypeVar('_Spec', ServiceSpec, RouteSpec)


def check_affected_teams(
    holder: TokenHolder, old: ConfigDocument, new: ConfigDocument
) -> None:
    """Check that a holder's team scopes cover all that a change affects.

    Raises
    ------
    ForbiddenError
        If the change affects settings shared by all teams, or a team for which
        the holder does not have the scope.
    """
    for part in ('mesh', 'preference', 'classes'):
        if getattr(old, part) != getattr(new, part):
            raise ForbiddenError(
                'The change affects settings that all teams share.',
                context={'path': f'$.{part}', 'holder': holder.name},
                hint='Use a token with the scope apply for every team.',
            )
    for team in sorted(find_affected_teams(old, new)):
        holder.require_team(Scope.APPLY, team)


def find_affected_teams(old: ConfigDocument, new: ConfigDocument) -> set[str]:
    """Return the teams whose services or routes differ.

    A service that passes from one team to another affects both. A route whose
    service is in neither document belongs to no team; its dangling reference
    is rejected when the change is validated for acceptance.
    """
    teams = {
        service.team for service in _find_changed(old.services, new.services)
    }
    changed_route_services = {
        route.service for route in _find_changed(old.routes, new.routes)
    }
    return teams | {
        service.team
        for service in new.services
        if service.name in changed_route_services
    }


def _find_changed(old: Iterable[_Spec], new: Iterable[_Spec]) -> set[_Spec]:
    return set(old) ^ set(new)
