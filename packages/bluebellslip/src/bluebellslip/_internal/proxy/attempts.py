"""Attempts at serving one request: which server, and whether another one."""

import dataclasses
import datetime as dt
from collections.abc import Sequence
from typing import Final, Protocol

from bluebellslip._internal.exceptions import (
    BluebellError,
    ErrorKind,
    NoServerError,
    OverloadedError,
)
from bluebellslip._internal.fleet.peer_table import Endpoint, PeerTable
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.identity import NodeId, ServiceName
from bluebellslip._internal.proxy.answers import Answer
from bluebellslip._internal.proxy.asking import Asker, Result
from bluebellslip._internal.proxy.estimates import find_usual_hold
from bluebellslip._internal.proxy.placement import (
    Choice,
    Need,
    Placement,
)
from bluebellslip._internal.proxy.retry_budget import SharedRetryBudget
from bluebellslip._internal.proxy.retry_rules import FailedAttempt, may_go_on
from bluebellslip._internal.proxy.sizes import AnswerSizes
from bluebellslip._internal.proxy.trace import AttemptTrace, RequestTrace
from bluebellslip._internal.proxy.work import Errand, Work, estimate_size

# Servers that are asked for one request before it is refused; refusals of a
# node cost a millisecond or two each. Of a large service, one server in so many
# is asked.
MAX_PLACEMENTS: Final = 4
SERVERS_PER_PLACEMENT: Final = 5
_KILOBYTE: Final = 1024


def limit_placements(servers: int) -> int:
    """Return how many servers of a service are asked for one request."""
    return max(MAX_PLACEMENTS, servers // SERVERS_PER_PLACEMENT)


class VersionChooser(Protocol):
    """Deals requests out between the versions of a service."""

    def choose_target(self, service: ServiceName) -> bool:
        """Tell whether the next request goes to a roll-out's target."""

    def select(
        self,
        service: ServiceName,
        endpoints: Sequence[Endpoint],
        *,
        for_target: bool,
    ) -> Sequence[Endpoint]:
        """Return the servers of the versions that a request may go to."""


@dataclasses.dataclass(frozen=True, slots=True)
class Mesh:
    """What the attempts of one node share."""

    clock: Clock
    peer_table: PeerTable
    placement: Placement
    asker: Asker
    versions: VersionChooser
    sizes: AnswerSizes


class Attempts:
    """The attempts at one request.

    ``may_have_run`` tells whether a server may have run it.

    Parameters
    ----------
    mesh
        What all requests share.
    work
        The request.
    max_servers
        Most servers that it may be sent to.
    budget
        Repeats that the service can bear.
    trace
        Receives what was decided.
    """

    def __init__(
        self,
        mesh: Mesh,
        work: Work,
        max_servers: int,
        budget: SharedRetryBudget,
        trace: RequestTrace,
    ) -> None:
        self._mesh = mesh
        self._work = work
        self._max_servers = max_servers
        self._budget = budget
        self._trace = trace
        self._for_target = mesh.versions.choose_target(work.service)
        self._refused: set[NodeId] = set()
        self._reached: set[NodeId] = set()
        self._failure: Answer | None = None
        self.may_have_run = False

    async def run(self) -> Answer | None:
        """Return an answer, or none if it was streamed to the caller.

        Raises
        ------
        BluebellError
            With the reason of the last attempt that failed.
        """
        while True:
            result = await self._attempt(self._choose())
            if result.error is None and not self._is_failure(result):
                self._note_size(result.answer)
                return result.answer
            self._learn(result)
            if not may_go_on(self._describe(result), self._spend):
                return self._conclude(result)

    def _note_size(self, answer: Answer | None) -> None:
        if answer is not None:
            self._mesh.sizes.learn(self._work.route, len(answer.body))

    def _is_failure(self, result: Result) -> bool:
        answer = result.answer
        if answer is None or not answer.is_failure:
            return False
        self._failure = answer
        return True

    def _learn(self, result: Result) -> None:
        error = result.error
        if error is not None and error.kind is ErrorKind.VERSION_STOPPED:
            self._for_target = False

    def _conclude(self, result: Result) -> Answer:
        if self._failure is not None:
            return self._failure
        if result.error is None:
            raise NoServerError('No server answered.')
        raise result.error

    def _describe(self, result: Result) -> FailedAttempt:
        work = self._work
        endpoints = self._mesh.peer_table.endpoints(work.service)
        reply = work.request.reply
        return FailedAttempt(
            is_repeatable=work.is_repeatable,
            may_have_run=result.may_have_run,
            reached=result.reached,
            replayable=work.upload.replayable and not reply.started,
            others=len(self._list_fresh()),
            servers=len(self._reached),
            max_servers=self._max_servers,
            left=work.deadline - self._mesh.clock.elapsed(),
            usual=find_usual_hold(endpoints, work.route),
        )

    def _spend(self) -> bool:
        return self._budget.spend(self._mesh.peer_table.size + 1)

    def _list_fresh(self) -> list[Endpoint]:
        """Return the servers that were not asked yet."""
        service = self._work.service
        known = self._mesh.peer_table.endpoints(service)
        if len(self._refused) >= limit_placements(len(known)):
            return []
        endpoints = self._mesh.versions.select(
            service, known, for_target=self._for_target
        )
        asked = self._refused | self._reached
        return [each for each in endpoints if each.node not in asked]

    def _choose(self) -> Choice:
        chosen = self._mesh.placement.choose(self._list_fresh(), self._need)
        if chosen is None:
            raise self._refuse()
        known = self._mesh.peer_table.endpoints(self._work.service)
        if len(self._refused) + 1 >= limit_placements(len(known)):
            return Choice(chosen.endpoint, dt.timedelta.max)
        return chosen

    def _refuse(self) -> BluebellError:
        """Return why no server is asked."""
        service = self._work.service
        known = len(self._mesh.peer_table.endpoints(service))
        context = {
            'service': service,
            'known': str(known),
            'asked': str(len(self._refused | self._reached)),
        }
        if known:
            return OverloadedError(
                'No server of the service has room in time.', context=context
            )
        return NoServerError(
            'No server of the service takes requests.', context=context
        )

    @property
    def _need(self) -> Need:
        now = self._mesh.clock.elapsed()
        route = self._work.route
        size = estimate_size(self._work.request) + self._mesh.sizes.expect(
            route
        )
        return Need(
            route=route,
            kilobytes=size / _KILOBYTE,
            target=self._work.objective - now,
            limit=self._work.deadline - now,
        )

    async def _attempt(self, choice: Choice) -> Result:
        endpoint = choice.endpoint
        clock = self._mesh.clock
        errand = Errand(endpoint.lifetime, choice.patience, self._for_target)
        left = self._work.deadline - clock.elapsed()
        trace = AttemptTrace.from_endpoint(
            endpoint, min(choice.patience, left), clock.elapsed()
        )
        self._trace.attempts.append(trace)
        endpoint.in_flight += 1
        result = Result()
        try:
            await self._mesh.asker.ask(endpoint, self._work, errand, result)
        except BluebellError as error:
            result.error = error
        finally:
            self._note(endpoint, result, trace)
        return result

    def _note(
        self, endpoint: Endpoint, result: Result, trace: AttemptTrace
    ) -> None:
        endpoint.in_flight -= 1
        asked = self._reached if result.reached else self._refused
        asked.add(endpoint.node)
        self.may_have_run = self.may_have_run or result.may_have_run
        trace.end(result.outcome, self._mesh.clock.elapsed())
