"""Once-only work: claim, run, and keep the answer.

The work runs in a task of its own, so that a caller who gives up does not
break it off: a repeat then finds the answer.
"""

import asyncio
import dataclasses
import datetime as dt
from collections.abc import Coroutine
from typing import Final, TypeVar

from bluebellslip._internal.calls import headers as names
from bluebellslip._internal.calls.backend import (
    check_version,
    make_server_headers,
)
from bluebellslip._internal.calls.call import Call
from bluebellslip._internal.calls.exchange import Exchange
from bluebellslip._internal.calls.gate import Gate, Holding
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.calls.tally import Tally
from bluebellslip._internal.calls.witness import Sight, Witness
from bluebellslip._internal.claims.rows import (
    Claim,
    StoredResponse,
    compute_fingerprint,
)
from bluebellslip._internal.claims.store import ClaimStore
from bluebellslip._internal.exceptions import (
    BluebellError,
    DeadlineExceededError,
    KeyReusedError,
    OutcomeUnknownError,
    OverloadedError,
    PlatformDownError,
)
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.models.facts import Backend
from bluebellslip._internal.models.rows import name_claim_key

_Answer = TypeVar('_Answer')

MAX_ANSWER_BYTES: Final = 8 << 20
MAX_RUNNING: Final = 256
MAX_HELD_BYTES: Final = 16 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class _Work:
    """One piece of once-only work."""

    key: str
    call: Call
    backend: Backend
    body: bytes
    fingerprint: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    """Work under way on this node."""

    fingerprint: bytes
    answer: asyncio.Task[StoredResponse]


class OnceRunner:
    """Runs once-only work under claims.

    Parameters
    ----------
    context
        The node's shared state.
    pool
        Connections to the server.
    witness
        Receiver of outcomes.
    gate
        The server's slots.
    ledger
        Claims; none where the node has no table.
    """

    def __init__(
        self,
        context: Context,
        pool: ConnectionPool,
        witness: Witness,
        gate: Gate,
        ledger: ClaimStore | None,
    ) -> None:
        self._context = context
        self._pool = pool
        self._witness = witness
        self._gate = gate
        self._ledger = ledger
        self._running: dict[str, _Running] = {}
        self._held = Tally()
        self._tasks: set[asyncio.Task[object]] = set()

    @property
    def pending(self) -> int:
        """Pieces of work, and answers to be kept, under way."""
        return len(self._tasks)

    async def run(self, call: Call, backend: Backend) -> None:
        """Answer a request by running its work, or by its former answer.

        Raises
        ------
        BluebellError
            When it did not run, or may have and left no answer.
        """
        request = call.request
        body = await self._read_body(call)
        work = _Work(
            key=name_claim_key(call.service, call.key),
            call=call,
            backend=backend,
            body=body,
            fingerprint=compute_fingerprint(
                request.method, request.target, body
            ),
        )
        answer = await asyncio.shield(self._begin(work))
        fields = names.pass_response_headers(answer.headers)
        request.reply.respond(answer.status, fields, answer.body)

    async def _read_body(self, call: Call) -> bytes:
        length = names.read_number(call.request.fields, names.CONTENT_LENGTH)
        if length is None:
            length = call.route.work.max_body_bytes
        if self._held.count + length > MAX_HELD_BYTES:
            raise OverloadedError('The node holds too many bodies.')
        with self._held.holding(length):
            call.request.invite_body()
            return await call.request.body.read_all()

    def _begin(self, work: _Work) -> 'asyncio.Task[StoredResponse]':
        running = self._running.get(work.key)
        if running is None:
            return self._start(work)
        if running.fingerprint != work.fingerprint:
            raise KeyReusedError(
                'The idempotency key stands for another request.',
                context={'key': work.key},
                hint='Use a new key for each piece of work.',
            )
        return running.answer

    def _start(self, work: _Work) -> 'asyncio.Task[StoredResponse]':
        if len(self._running) >= MAX_RUNNING or not self._gate.has_room(
            work.call
        ):
            raise OverloadedError('The server has no slot for this call.')
        task = self._spawn(self._hold_and_run(work))
        self._running[work.key] = _Running(work.fingerprint, task)
        task.add_done_callback(lambda done: self._forget(work.key, done))
        return task

    async def _hold_and_run(self, work: _Work) -> StoredResponse:
        if self._ledger is None:
            raise PlatformDownError('The node has no table for claims.')
        with self._held.holding(len(work.body)):
            return await self._claim_and_run(self._ledger, work)

    async def _claim_and_run(
        self, ledger: ClaimStore, work: _Work
    ) -> StoredResponse:
        claimed = await ledger.claim(
            work.key, work.fingerprint, work.call.route.work.timeout
        )
        if isinstance(claimed, StoredResponse):
            self._context.counters.add('claims_replayed')
            return claimed
        return await self._run_claimed(ledger, claimed, work)

    async def _run_claimed(
        self, ledger: ClaimStore, claim: Claim, work: _Work
    ) -> StoredResponse:
        sight = self._witness.watch(work.call, work.backend)
        try:
            answer = await self._admit(work, sight)
        except BluebellError as error:
            if not sight.sent:
                await ledger.release(claim)
                raise
            self._spawn(ledger.mark_lost(claim))
            raise OutcomeUnknownError(
                'The server broke off; the work may have run.',
                context={'key': work.key, 'found': error.message},
                hint='Look at the service itself before a new key is used.',
            ) from error
        self._spawn(ledger.store_response(claim, answer))
        return answer

    async def _admit(self, work: _Work, sight: Sight) -> StoredResponse:
        ticket = await self._gate.enter(work.call)
        with Holding(self._gate, ticket), sight:
            check_version(self._context, work.backend)
            try:
                return await self._exchange(work, sight)
            except TimeoutError as error:
                raise DeadlineExceededError(
                    'The time of the call is over.'
                ) from error

    async def _exchange(self, work: _Work, sight: Sight) -> StoredResponse:
        call = work.call
        left = call.remaining(self._context.clock.elapsed())
        if left <= dt.timedelta():
            raise OverloadedError('The time of the call is over.')
        timeout = call.route.work.timeout.total_seconds()
        with Exchange(self._pool, work.backend.address) as exchange:
            async with asyncio.timeout(timeout):
                await exchange.open(fresh=True)
                sight.send()
                head = await exchange.send_whole(
                    call.request, make_server_headers(call, left), work.body
                )
                sight.see(head.status)
                exchange.connection.body.limit_to(MAX_ANSWER_BYTES)
                body = await exchange.connection.body.read_all()
        return StoredResponse(head.status, tuple(head.headers), body)

    def _spawn(
        self, work: Coroutine[object, object, _Answer]
    ) -> 'asyncio.Task[_Answer]':
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _forget(self, key: str, done: 'asyncio.Task[StoredResponse]') -> None:
        del self._running[key]
        if not done.cancelled():
            done.exception()
