"""Store of claims: which node runs a piece of at-most-once work."""

import datetime as dt
from collections import deque
from typing import Final

import anyio
import msgspec

from bluebellslip._internal.claims.commit import GroupCommit
from bluebellslip._internal.claims.rows import (
    MAX_STORED_RESPONSE_BYTES,
    Claim,
    ClaimRow,
    ClaimState,
    StoredResponse,
    decode_claim,
    encode_claim,
)
from bluebellslip._internal.exceptions import (
    BluebellError,
    IdempotencyKeyReusedError,
    OutcomeUnknownError,
    PlatformDownError,
    PlatformOutcomeUnknownError,
)
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.ports import Row, TableService
from bluebellslip._internal.utils.decoding import DECODING_ERRORS

MAX_ORPHANED_CLAIMS: Final = 1024
COMPLETION_MARGIN: Final = dt.timedelta(seconds=60)  # after the timeout
_MAX_CLAIM_ATTEMPTS: Final = 6
_INITIAL_BACKOFF_S: Final = 0.05
_MAX_UPDATE_ATTEMPTS: Final = 10
_MAX_BACKOFF_S: Final = 5.0
_TOKEN_BITS: Final = 96


class ClaimStore:
    """Makes and updates this node's claims in the platform's table.

    Parameters
    ----------
    context
        The node's shared state.
    table
        The platform's table.
    commit
        Group commit of writes to the table.
    """

    def __init__(
        self, context: Context, table: TableService, commit: GroupCommit
    ) -> None:
        self._context = context
        self._table = table
        self._commit = commit
        self._orphans: deque[tuple[str, ClaimRow]] = deque(
            maxlen=MAX_ORPHANED_CLAIMS
        )

    @property
    def orphaned_keys(self) -> tuple[str, ...]:
        """Keys of claims that may be stored although they were not granted."""
        return tuple(key for key, _ in self._orphans)

    async def claim(
        self, key: str, fingerprint: bytes, timeout: dt.timedelta
    ) -> Claim | StoredResponse:
        """Claim the work under a key, or return its stored response.

        Raises
        ------
        IdempotencyKeyReusedError
            When the key was used for a different request.
        OutcomeUnknownError
            When the work is in progress or may have run, and no response is
            stored.
        BluebellError
            When the table is unavailable or its queue of writes is full; this
            call did not claim the work.
        """
        row = self._make_row(fingerprint, timeout)
        version = 0
        for attempt in range(_MAX_CLAIM_ATTEMPTS):
            claimed = await self._try_claim(key, version, row)
            if claimed is not None:
                return claimed
            found = await self._read(key)
            if found is None:
                version = 0
                continue
            existing = self._resolve_existing(found, row)
            if existing is not None:
                return existing
            version = self._find_replaceable_version(found)
            if version == 0:
                await anyio.sleep(_INITIAL_BACKOFF_S * 2**attempt)
        raise OutcomeUnknownError(
            'The same work is in progress and has no response yet.',
            context={'key': key},
            hint='Retry later with the same key.',
        )

    async def release(self, claim: Claim) -> None:
        """Free the key, since the work did not run."""
        await self._update(claim, ClaimState.RELEASED, None)

    async def mark_lost(self, claim: Claim) -> None:
        """Record that the outcome of the work is unknown."""
        await self._update(claim, ClaimState.LOST, None)

    async def store_response(
        self, claim: Claim, response: StoredResponse
    ) -> None:
        """Mark the work as done; store the response unless it is too large."""
        fits = len(response.body) <= MAX_STORED_RESPONSE_BYTES
        await self._update(claim, ClaimState.DONE, response if fits else None)

    async def release_orphans(self) -> None:
        """Release claims that were written although an error was reported.

        Their work did not run, since the caller received that error.
        """
        for orphan in tuple(self._orphans):
            key, row = orphan
            try:
                found = await self._table.read(key)
            except BluebellError:
                continue
            if found is not None and found.body == encode_claim(row):
                await self.release(Claim(key, found.version, row))
            # It stays in the list until then, in case the node stops.
            if orphan in self._orphans:
                self._orphans.remove(orphan)

    async def _try_claim(
        self, key: str, version: int, row: ClaimRow
    ) -> Claim | None:
        try:
            result = await self._commit.submit(key, version, encode_claim(row))
        except PlatformOutcomeUnknownError as error:
            self._orphans.append((key, row))
            raise _make_unavailable_error(key, error) from error
        except PlatformDownError as error:
            raise _make_unavailable_error(key, error) from error
        if result.is_error():
            return None
        return Claim(key, result.ok, row)

    async def _read(self, key: str) -> Row | None:
        try:
            return await self._table.read(key)
        except BluebellError as error:
            raise _make_unavailable_error(key, error) from error

    def _resolve_existing(
        self, found: Row, new_row: ClaimRow
    ) -> Claim | StoredResponse | None:
        """Return the result of claiming a key that already has a row.

        The result is the new claim if the same call of ``claim`` wrote the
        row, the stored response of the work, or None if the caller should try
        again.
        """
        row = _decode_row(found)
        if row == new_row:
            return Claim(found.key, found.version, new_row)
        if row.is_expired(self._context.clock.now()):
            return None
        if row.fingerprint != new_row.fingerprint:
            raise IdempotencyKeyReusedError(
                'The idempotency key was used for a different request.',
                context={'key': found.key},
                hint='Use a new key for each piece of work.',
            )
        if row.state is ClaimState.DONE and row.answer is not None:
            return row.answer
        if self._is_outcome_unknown(row):
            raise OutcomeUnknownError(
                'The work may have run; its response is unknown.',
                context={'key': found.key, 'state': row.state.value},
                hint='Check the state of the service before using a new key.',
            )
        return None

    def _is_outcome_unknown(self, row: ClaimRow) -> bool:
        if row.state is ClaimState.CLAIMED:
            return self._context.clock.now() >= row.until
        return row.state is not ClaimState.RELEASED

    def _find_replaceable_version(self, found: Row) -> int:
        """Return a row's version if a claim may overwrite it, otherwise 0."""
        row = _decode_row(found)
        is_released = row.state is ClaimState.RELEASED
        if is_released or row.is_expired(self._context.clock.now()):
            return found.version
        return 0

    def _make_row(self, fingerprint: bytes, timeout: dt.timedelta) -> ClaimRow:
        now = self._context.clock.now()
        return ClaimRow(
            token=f'{self._context.random.getrandbits(_TOKEN_BITS):024x}',
            node=self._context.node,
            fingerprint=fingerprint,
            state=ClaimState.CLAIMED,
            claimed=now,
            until=now + timeout + COMPLETION_MARGIN,
        )

    async def _update(
        self, claim: Claim, state: ClaimState, response: StoredResponse | None
    ) -> None:
        """Write a claim's state; retry errors a limited number of times."""
        row = msgspec.structs.replace(claim.row, state=state, answer=response)
        body = encode_claim(row)
        for attempt in range(_MAX_UPDATE_ATTEMPTS):
            try:
                await self._commit.submit(claim.key, claim.version, body)
            except BluebellError:
                self._context.counters.add('claims_store_retries')
            else:
                return
            await anyio.sleep(
                min(_MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2**attempt)
            )
        self._context.counters.add('claims_store_given_up')


def _make_unavailable_error(
    key: str, error: BluebellError
) -> PlatformDownError:
    return PlatformDownError(
        'The claim could not be made; this request did not run the work.',
        context={'key': key, 'found': error.message},
        hint='Retry the request with the same key.',
    )


def _decode_row(found: Row) -> ClaimRow:
    try:
        return decode_claim(found.body)
    except DECODING_ERRORS as error:
        raise OutcomeUnknownError(
            'The stored claim cannot be decoded.', context={'key': found.key}
        ) from error
