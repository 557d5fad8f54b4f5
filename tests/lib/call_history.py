"""A history of calls, checked against the requests that servers received."""

import asyncio
import dataclasses
from collections import Counter
from collections.abc import Iterable

from bluebellslip._internal.models.identity import Address
from lib.calls import FakeServer, ReceivedResponse, call_once

_OK = 200


@dataclasses.dataclass(frozen=True)
class RecordedCall:
    """One attempt at a call.

    ``key`` is the idempotency key, empty if there is none. ``response`` is
    None if no complete response was received.
    """

    path: str
    key: str
    response: ReceivedResponse | None

    @property
    def promises_not_run(self) -> bool:
        """Whether the response states that the call was not run."""
        return (
            self.response is not None
            and 'bluebell-not-run' in self.response.headers
        )


class CallHistory:
    """Calls made by a test, to be checked against what the servers ran."""

    def __init__(self) -> None:
        self.calls: list[RecordedCall] = []

    async def call(self, address: Address, path: str, key: str = '') -> None:
        """Make a call and record its response."""
        service, method = ('orders', 'POST') if key else ('storefront', 'GET')
        headers = {'idempotency_key': key} if key else {}
        response: ReceivedResponse | None = None
        try:
            response = await call_once(
                address, path, service=service, method=method, **headers
            )
        except (OSError, asyncio.IncompleteReadError):
            response = None
        self.calls.append(RecordedCall(path, key, response))

    def find_violations(self, servers: Iterable[FakeServer]) -> list[str]:
        """Return a description of each broken rule.

        Recorded calls with the same idempotency key, or the same path if they
        have no key, are attempts at one call. A successful response must
        belong to its call, a call with a key may run at most once, and a call
        must not have run if every attempt got a response stating that the call
        was not run.
        """
        run_counts: Counter[str] = Counter()
        for server in servers:
            for request in server.received_requests:
                key = request.headers.get('idempotency-key', '')
                run_counts[key or request.request_line.split()[1]] += 1
        violations = [
            f'{recorded.path} got {recorded.response}'
            for recorded in self.calls
            if not _has_matching_body(recorded)
        ]
        keys = {recorded.key for recorded in self.calls if recorded.key}
        violations.extend(
            f'the call with key {key} ran {run_counts[key]} times'
            for key in keys
            if run_counts[key] > 1
        )
        violations.extend(self._find_broken_promises(run_counts))
        return violations

    def _find_broken_promises(self, run_counts: Counter[str]) -> list[str]:
        promised_not_run: dict[str, bool] = {}
        for recorded in self.calls:
            name = recorded.key or recorded.path
            promised_not_run[name] = (
                promised_not_run.get(name, True) and recorded.promises_not_run
            )
        return [
            f'{name} ran, but all its responses stated that it was not run'
            for name, promised in promised_not_run.items()
            if promised and run_counts[name]
        ]


def _has_matching_body(recorded: RecordedCall) -> bool:
    if recorded.response is None or recorded.response.status != _OK:
        return True
    return recorded.response.body == (recorded.key or recorded.path).encode()
