"""At-most-once requests: claim the key, run, and store the response.

The request runs in its own task, so that it continues when the caller gives
up; a retry then receives the stored response.
"""

import asyncio
import dataclasses
import datetime as dt
import logging
from collections.abc import Coroutine
from typing import Final, TypeVar

import anyio

from bluebellslip._internal.calls import headers as header_names
from bluebellslip._internal.calls.admission_gate import AdmissionGate, HeldSlot
from bluebellslip._internal.calls.backend import (
    check_version,
    make_server_headers,
)
from bluebellslip._internal.calls.call import Call
from bluebellslip._internal.calls.exchange import Exchange
from bluebellslip._internal.calls.outcome_observer import (
    CallObservation,
    OutcomeObserver,
)
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.calls.running_claims import (
    ClaimPhase,
    RunningClaims,
    RunningRequest,
)
from bluebellslip._internal.calls.usage import UsageCounter
from bluebellslip._internal.claims.rows import (
    Claim,
    StoredResponse,
    compute_fingerprint,
)
from bluebellslip._internal.claims.store import ClaimStore
from bluebellslip._internal.exceptions import (
    BluebellError,
    DeadlineExceededError,
    IdempotencyKeyReusedError,
    OutcomeUnknownError,
    OverloadedError,
    PlatformDownError,
)
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.models.facts import Backend
from bluebellslip._internal.models.rows import build_claim_key

logger = logging.getLogger(__name__)

_Result = TypeVar('_Result')

MAX_RESPONSE_BYTES: Final = 8 << 20
MAX_RUNNING_REQUESTS: Final = 256
MAX_BUFFERED_BODY_BYTES: Final = 16 << 20
_END_POLL_INTERVAL: Final = dt.timedelta(milliseconds=10)


@dataclasses.dataclass(frozen=True, slots=True)
class _PreparedRequest:
    """An at-most-once request with its body and the key of its claim."""

    claim_key: str
    call: Call
    backend: Backend
    body: bytes
    fingerprint: bytes


class AtMostOnceRunner:
    """Runs at-most-once requests under claims.

    Parameters
    ----------
    context
        The node's shared state.
    pool
        Connections to the server.
    observer
        Records the outcome of each call.
    gate
        Admission to the server's slots.
    claim_store
        Stores the claims; None if the node has no platform table.
    """

    def __init__(
        self,
        context: Context,
        pool: ConnectionPool,
        observer: OutcomeObserver,
        gate: AdmissionGate,
        claim_store: ClaimStore | None,
    ) -> None:
        self._context = context
        self._pool = pool
        self._observer = observer
        self._gate = gate
        self._claim_store = claim_store
        self._running = RunningClaims()
        self._buffered_bytes = UsageCounter()
        self._tasks: set[asyncio.Task[object]] = set()

    @property
    def pending(self) -> int:
        """Number of running requests and unfinished writes of claims."""
        return len(self._tasks)

    async def run(self, call: Call, backend: Backend) -> None:
        """Run a request, or reply with the stored response of an earlier run.

        Raises
        ------
        BluebellError
            When the request did not run, or its outcome is unknown.
        """
        request = call.request
        body = await self._read_body(call)
        prepared = _PreparedRequest(
            claim_key=build_claim_key(call.service, call.key),
            call=call,
            backend=backend,
            body=body,
            fingerprint=compute_fingerprint(
                request.method, request.target, body
            ),
        )
        response = await asyncio.shield(self._join_or_start(prepared))
        headers = header_names.filter_headers(response.headers)
        request.reply.respond(response.status, headers, response.body)

    async def end(self, timeout: dt.timedelta) -> None:
        """Release the claims of requests that were not sent to the server.

        Called when the node stops, after the gate was closed. Requests that
        were sent go on. Claims that can't be released in time are logged.
        """
        self._running.ending = True
        self._running.cancel(ClaimPhase.CLAIMED)
        orphaned: tuple[str, ...] = ()
        with anyio.move_on_after(timeout.total_seconds()):
            while self._running.list_unsent():
                await anyio.sleep(_END_POLL_INTERVAL.total_seconds())
            if self._claim_store is not None:
                await self._claim_store.release_orphans()
        if self._claim_store is not None:
            orphaned = self._claim_store.orphaned_keys
        unreleased = [*self._running.list_unsent(), *orphaned]
        if unreleased:
            logger.warning(
                'claims were not released', extra={'keys': unreleased}
            )
        given_up = self._running.cancel(ClaimPhase.RELEASING)
        if given_up:
            await asyncio.wait(given_up)

    async def _read_body(self, call: Call) -> bytes:
        length = header_names.read_number(
            call.request.fields, header_names.CONTENT_LENGTH
        )
        if length is None:
            length = call.route.work.max_body_bytes
        if self._buffered_bytes.count + length > MAX_BUFFERED_BODY_BYTES:
            raise OverloadedError(
                'The node has no buffer space for this request body.'
            )
        with self._buffered_bytes.reserve(length):
            call.request.send_continue()
            return await call.request.body.read_all()

    def _join_or_start(
        self, prepared: _PreparedRequest
    ) -> 'asyncio.Task[StoredResponse]':
        running = self._running.find(prepared.claim_key)
        if running is None:
            return self._start(prepared)
        if running.fingerprint != prepared.fingerprint:
            raise IdempotencyKeyReusedError(
                'The idempotency key was used for a different request.',
                context={'key': prepared.claim_key},
                hint='Use a new key for each request.',
            )
        return running.response_task

    def _start(
        self, prepared: _PreparedRequest
    ) -> 'asyncio.Task[StoredResponse]':
        self._gate.check_open()
        if len(
            self._running
        ) >= MAX_RUNNING_REQUESTS or not self._gate.accepts_call(prepared.call):
            raise OverloadedError(
                'The server has no free slot for this call, or too many '
                'at-most-once requests are running on its node.'
            )
        task = self._spawn(self._run_with_claim(prepared))
        self._running.add(
            prepared.claim_key, RunningRequest(prepared.fingerprint, task)
        )
        return task

    async def _run_with_claim(
        self, prepared: _PreparedRequest
    ) -> StoredResponse:
        if self._claim_store is None:
            raise PlatformDownError(
                'The node has no platform table to store claims in.'
            )
        with self._buffered_bytes.reserve(len(prepared.body)):
            return await self._claim_and_run(self._claim_store, prepared)

    async def _claim_and_run(
        self, claim_store: ClaimStore, prepared: _PreparedRequest
    ) -> StoredResponse:
        claimed = await claim_store.claim(
            prepared.claim_key,
            prepared.fingerprint,
            prepared.call.route.work.timeout,
        )
        if isinstance(claimed, StoredResponse):
            self._context.counters.add('claims_replayed')
            return claimed
        return await self._run_claimed(claim_store, claimed, prepared)

    async def _run_claimed(
        self, claim_store: ClaimStore, claim: Claim, prepared: _PreparedRequest
    ) -> StoredResponse:
        observation = self._observer.observe(prepared.call, prepared.backend)
        self._running.set_phase(claim.key, ClaimPhase.CLAIMED)
        try:
            with self._running.refuse_at_end(claim.key):
                response = await self._admit_and_run(prepared, observation)
        except BluebellError as error:
            if not observation.sent:
                await self._release(claim_store, claim)
                raise
            self._spawn(claim_store.mark_lost(claim))
            raise OutcomeUnknownError(
                'The request failed at the server and may have run.',
                context={'key': prepared.claim_key, 'found': error.message},
                hint='Check the state of the service before using a new key.',
            ) from error
        self._spawn(claim_store.store_response(claim, response))
        return response

    async def _release(self, claim_store: ClaimStore, claim: Claim) -> None:
        self._running.set_phase(claim.key, ClaimPhase.RELEASING)
        try:
            await claim_store.release(claim)
        except asyncio.CancelledError:
            if not self._running.ending:
                raise

    async def _admit_and_run(
        self, prepared: _PreparedRequest, observation: CallObservation
    ) -> StoredResponse:
        ticket = await self._gate.admit_call(prepared.call)
        with HeldSlot(self._gate, ticket), observation:
            check_version(self._context, prepared.backend)
            try:
                return await self._exchange(prepared, observation)
            except TimeoutError as error:
                raise DeadlineExceededError(
                    'The call has timed out.'
                ) from error

    async def _exchange(
        self, prepared: _PreparedRequest, observation: CallObservation
    ) -> StoredResponse:
        call = prepared.call
        time_left = call.remaining(self._context.clock.elapsed())
        if time_left <= dt.timedelta():
            raise OverloadedError('The call timed out before it was sent.')
        timeout = call.route.work.timeout.total_seconds()
        with Exchange(self._pool, prepared.backend.address) as exchange:
            async with asyncio.timeout(timeout):
                await exchange.open(fresh=True)
                observation.mark_sent()
                self._running.set_phase(prepared.claim_key, ClaimPhase.SENT)
                head = await exchange.send_buffered(
                    call.request,
                    make_server_headers(call, time_left),
                    prepared.body,
                )
                observation.record_status(head.status)
                exchange.connection.body.limit_to(MAX_RESPONSE_BYTES)
                body = await exchange.connection.body.read_all()
        return StoredResponse(head.status, tuple(head.headers), body)

    def _spawn(
        self, coroutine: Coroutine[object, object, _Result]
    ) -> 'asyncio.Task[_Result]':
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
