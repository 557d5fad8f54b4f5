"""Orders to roll out a version of a service, and their status."""

import dataclasses
import datetime as dt
import enum

from bluebellslip._internal.models.identity import ServiceName, VersionName


@enum.unique
class RolloutState(enum.StrEnum):
    """State of a roll-out."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled-back'

    @property
    def is_final(self) -> bool:
        """Whether the roll-out has ended."""
        return self is not RolloutState.RUNNING


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to roll out a version.

    Parameters
    ----------
    service
        The service whose version is to change.
    target
        The version that the service's traffic is to be moved to.
    duration
        Longest time from the order to the completion of the roll-out.
    revision
        Version of the stored order; a repeated order has a greater one.
    """

    service: ServiceName
    target: VersionName
    duration: dt.timedelta
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutStatus:
    """The last reported status of a service's roll-out.

    Parameters
    ----------
    service
        The service.
    target
        The version that the order named.
    state
        State of the roll-out.
    revision
        Version of the stored status.
    """

    service: ServiceName
    target: VersionName
    state: RolloutState
    revision: int
