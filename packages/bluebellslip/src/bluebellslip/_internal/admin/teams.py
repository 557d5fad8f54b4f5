"""Which teams a change of the configuration touches."""

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


def check_team_change(
    holder: TokenHolder, old: ConfigDocument, new: ConfigDocument
) -> None:
    """Check that a holder's teams own all that a change touches.

    Raises
    ------
    ForbiddenError
        When it touches what belongs to all, or to another team.
    """
    for part in ('mesh', 'preference', 'classes'):
        if getattr(old, part) != getattr(new, part):
            raise ForbiddenError(
                'The change touches what all teams share.',
                context={'path': f'$.{part}', 'holder': holder.name},
                hint='Use a token with the scope apply for every team.',
            )
    for team in sorted(find_affected_teams(old, new)):
        holder.require_team(Scope.APPLY, team)


def find_affected_teams(old: ConfigDocument, new: ConfigDocument) -> set[str]:
    """Return the teams whose services or routes differ.

    A service that changes hands touches both teams. A route of a service
    that neither document has belongs to no team; checking its reference is
    left to the acceptance of the change.
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
