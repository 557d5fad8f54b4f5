"""A backend server that names a limit on its requests, or that it leaves."""

import asyncio
import time

from lib.calls import ReceivedRequest
from lib.simulated_platform import encode_signed_response


class LimitingServer:
    """Responds to every request, with the headers of its present state.

    ``limit`` is sent as it is; none while the server names no limit.
    ``arrivals`` are the times of its requests, ``named_at`` is the time of its
    first response with a limit.

    Parameters
    ----------
    run_s
        Time for which a request runs, in seconds.
    """

    def __init__(self, run_s: float = 0.01) -> None:
        self.limit: str | None = None
        self.leaving = False
        self.status = 200
        self.arrivals: list[float] = []
        self.request_ids: list[str] = []
        self.named_at: float | None = None
        self._run_s = run_s

    async def handle(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        self.arrivals.append(time.monotonic())
        self.request_ids.append(request.headers['x-request-id'])
        await asyncio.sleep(self._run_s)
        response = encode_signed_response(request, b'ok', self.status)
        head, _, body = response.partition(b'\r\n\r\n')
        writer.write(b'\r\n'.join((head, *self._make_headers(), b'', body)))

    def _make_headers(self) -> list[bytes]:
        headers = []
        if self.limit is not None:
            self.named_at = self.named_at or time.monotonic()
            headers.append(f'Server-Limit: {self.limit}'.encode('latin-1'))
        if self.leaving:
            headers.append(b'Server-Leaving: 1')
        return headers

    def count_most(self, window_s: float, since: float) -> int:
        """Return the most arrivals within a window that starts at a time."""
        times = [at for at in self.arrivals if at >= since]
        return max(
            (sum(first <= at < first + window_s for at in times))
            for first in (*times, since)
        )
