"""A history of calls and runs, and what must hold of it."""

import asyncio
import dataclasses
from collections import Counter
from collections.abc import Iterable

from bluebellslip._internal.models.identity import Address
from lib.calls import FakeServer, ReceivedResponse, call_once

_OK = 200


@dataclasses.dataclass(frozen=True)
class RecordedCall:
    """One call; ``got`` is none where the answer broke off."""

    path: str
    key: str
    response: ReceivedResponse | None

    @property
    def promises_not_run(self) -> bool:
        """Whether the answer promises that the call did not run."""
        return (
            self.response is not None
            and 'bluebell-not-run' in self.response.headers
        )


class CallHistory:
    """Calls made, to be checked against what the servers ran."""

    def __init__(self) -> None:
        self.calls: list[RecordedCall] = []

    async def call(self, address: Address, path: str, key: str = '') -> None:
        """Make a call and keep what came of it."""
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
        """Return what does not hold; nothing if all does."""
        runs: Counter[str] = Counter()
        for server in servers:
            for request in server.received_requests:
                key = request.headers.get('idempotency-key', '')
                runs[key or request.request_line.split()[1]] += 1
        violations = [
            f'{recorded.path} got {recorded.response}'
            for recorded in self.calls
            if not _has_matching_body(recorded)
        ]
        keys = {recorded.key for recorded in self.calls if recorded.key}
        violations.extend(
            f'{key} ran {runs[key]} times' for key in keys if runs[key] > 1
        )
        violations.extend(self._find_broken_promises(runs))
        return violations

    def _find_broken_promises(self, runs: Counter[str]) -> list[str]:
        promised_not_run: dict[str, bool] = {}
        for recorded in self.calls:
            name = recorded.key or recorded.path
            promised_not_run[name] = (
                promised_not_run.get(name, True) and recorded.promises_not_run
            )
        return [
            f'{name} ran, but was promised not to have'
            for name, promised in promised_not_run.items()
            if promised and runs[name]
        ]


def _has_matching_body(recorded: RecordedCall) -> bool:
    if recorded.response is None or recorded.response.status != _OK:
        return True
    return recorded.response.body == (recorded.key or recorded.path).encode()
