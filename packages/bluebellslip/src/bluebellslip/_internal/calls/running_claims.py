"""At-most-once requests that run on a node, and what their claims stand for."""

import asyncio
import contextlib
import dataclasses
import enum
from collections.abc import Generator

from bluebellslip._internal.claims.rows import StoredResponse
from bluebellslip._internal.exceptions import DrainingError


@enum.unique
class ClaimPhase(enum.Enum):
    """Phase of a request; only one in ``SENT`` may have run."""

    CLAIMING = 'claiming'
    CLAIMED = 'claimed'
    RELEASING = 'releasing'
    SENT = 'sent'


@dataclasses.dataclass(slots=True)
class RunningRequest:
    """A request that is running on this node."""

    fingerprint: bytes
    response_task: asyncio.Task[StoredResponse]
    phase: ClaimPhase = ClaimPhase.CLAIMING


class RunningClaims:
    """The running requests by the key of their claim.

    ``ending`` is set when the node stops and sends no more requests.
    """

    def __init__(self) -> None:
        self._requests: dict[str, RunningRequest] = {}
        self.ending = False

    def __len__(self) -> int:
        return len(self._requests)

    def find(self, key: str) -> RunningRequest | None:
        """Return the request that runs under a key."""
        return self._requests.get(key)

    def add(self, key: str, request: RunningRequest) -> None:
        """Add a request; it is removed when its task is done."""
        self._requests[key] = request
        request.response_task.add_done_callback(
            lambda done: self._remove(key, done)
        )

    def set_phase(self, key: str, phase: ClaimPhase) -> None:
        """Set the phase of a running request."""
        self._requests[key].phase = phase

    def list_unsent(self) -> list[str]:
        """Return the keys of the requests that were not sent."""
        return [
            key
            for key, request in self._requests.items()
            if request.phase is not ClaimPhase.SENT
        ]

    def cancel(self, phase: ClaimPhase) -> list[asyncio.Task[StoredResponse]]:
        """Cancel the requests in a phase and return their tasks."""
        tasks = [
            request.response_task
            for request in self._requests.values()
            if request.phase is phase
        ]
        for task in tasks:
            task.cancel()
        return tasks

    @contextlib.contextmanager
    def refuse_at_end(self, key: str) -> Generator[None, None, None]:
        """Turn a cancellation at the node's stop into a refusal.

        Raises
        ------
        DrainingError
            When the node stops before the request was sent.
        """
        try:
            yield
        except asyncio.CancelledError as error:
            is_sent = self._requests[key].phase is ClaimPhase.SENT
            if is_sent or not self.ending:
                raise
            raise DrainingError(
                'The node stopped before the request was sent.'
            ) from error

    def _remove(self, key: str, done: asyncio.Task[StoredResponse]) -> None:
        del self._requests[key]
        if not done.cancelled():
            # asyncio would log an exception that is never retrieved.
            done.exception()
