"""Access to the local server, the backend server beside this node.

Every request to that server passes through this module, which manages the
server's slots and refuses new requests while the server is draining.
"""

import datetime as dt
from collections.abc import Callable
from typing import Final, Protocol

from bluebellslip._internal.calls.admission_gate import AdmissionGate
from bluebellslip._internal.calls.metadata_headers import MetadataHeaders
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.calls.response_reader import ResponseHead
from bluebellslip._internal.exceptions import (
    BluebellError,
    DrainingError,
    NoServerError,
    OverloadedError,
    VersionStoppedError,
)
from bluebellslip._internal.fleet.local_server import LocalServer, ServerInfo
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.ports import RequestStatus
from bluebellslip._internal.models.identity import (
    RouteName,
    ServiceName,
    VersionName,
)
from bluebellslip._internal.proxy.cold_server import ColdServer
from bluebellslip._internal.proxy.latest_starts import find_latest_start
from bluebellslip._internal.proxy.routed_request import (
    AttemptOptions,
    RoutedRequest,
    ServerLoad,
)
from bluebellslip._internal.proxy.running_requests import RunningRequests
from bluebellslip._internal.proxy.server_ends import ServerEndMonitor
from bluebellslip._internal.proxy.server_load import (
    ServerLoadReports,
    choose_unknown_time,
)
from bluebellslip._internal.proxy.server_measurements import ServerMeasurements
from bluebellslip._internal.proxy.server_notices import ServerNotices
from bluebellslip._internal.proxy.server_waits import ServerWaits

_MILLISECOND: Final = dt.timedelta(milliseconds=1)


class ServerOutcomeRecorder(Protocol):
    """Records the outcomes of requests at the local server."""

    def record(
        self,
        service: ServiceName,
        version: VersionName,
        route: RouteName,
        status: RequestStatus,
        latency: dt.timedelta,
        *,
        is_warm: bool,
    ) -> None:
        """Record one outcome; called for every request, so it must be cheap."""


class VersionGate(Protocol):
    """Decides whether a version may receive a request."""

    def admits(
        self, service: ServiceName, version: VersionName, *, for_target: bool
    ) -> bool:
        """Return whether a server of a version may run a request."""


class ServerGateway:
    """Admits requests to the local server.

    Parameters
    ----------
    clock
        The node's clock.
    server
        State of the server.
    pool
        Connections to the server.
    metadata_headers
        Names of the headers that callers and servers use.
    versions
        Decides whether the server's version may receive a request.
    recorder
        Records the outcomes of requests at the server.
    running
        The requests that the server is running.
    server_ends
        Records the requests during which the server ended.
    """

    def __init__(
        self,
        clock: Clock,
        server: LocalServer,
        pool: ConnectionPool,
        metadata_headers: MetadataHeaders,
        versions: VersionGate,
        recorder: ServerOutcomeRecorder,
        running: RunningRequests,
        server_ends: ServerEndMonitor,
    ) -> None:
        self._clock = clock
        self._server = server
        self._pool = pool
        self._metadata_headers = metadata_headers
        self._versions = versions
        self._recorder = recorder
        self._running = running
        self._server_ends = server_ends
        self._reports = ServerLoadReports(clock, metadata_headers)
        self._gate = AdmissionGate(clock)
        self._gate.follow_slowness(self._reports.slowness.read)
        self._measurements = ServerMeasurements(clock)
        self._waits = ServerWaits()
        self._notices = ServerNotices(clock, metadata_headers)
        self._on_notice: Callable[[], None] = _ignore_notice
        self._cold_server: ColdServer | None = None
        self._guards: list[Callable[[], None]] = []
        self._closed = False
        self._current_lifetime: object = None

    @property
    def clock(self) -> Clock:
        """The node's clock."""
        return self._clock

    @property
    def pool(self) -> ConnectionPool:
        """Connections to the server."""
        return self._pool

    @property
    def metadata_headers(self) -> MetadataHeaders:
        """Names of the headers that callers and servers use."""
        return self._metadata_headers

    @property
    def running(self) -> RunningRequests:
        """The requests that the server is running."""
        return self._running

    @property
    def server_ends(self) -> ServerEndMonitor:
        """Records the requests during which the server ended."""
        return self._server_ends

    @property
    def waits(self) -> ServerWaits:
        """The requests that wait to be passed on to the server."""
        return self._waits

    @property
    def gate(self) -> AdmissionGate:
        """The server's slots."""
        return self._gate

    @property
    def server(self) -> LocalServer:
        """State of the server."""
        return self._server

    @property
    def measurements(self) -> ServerMeasurements:
        """What was measured of the server's responses."""
        return self._measurements

    @property
    def load(self) -> ServerLoad:
        """Load of the server as reported to other nodes."""
        gate = self._gate
        return ServerLoad(
            min(gate.slots, gate.in_use + gate.occupied),
            gate.waiting,
            gate.slots,
            round(gate.average_service_time / _MILLISECOND, 1),
            round(self._measurements.failure_rate, 3),
            self._reported_limit,
        )

    @property
    def is_cold(self) -> bool:
        """Whether requests are paced because the server may be cold."""
        return self._cold_server is not None and self._cold_server.is_cold

    @property
    def _reported_limit(self) -> float | None:
        limit = self._notices.rate_limit
        return (
            limit
            if self._cold_server is None
            else (self._cold_server.report(limit))
        )

    def pace(self, cold_server: ColdServer) -> None:
        """Pace requests while the server is cold, or may be."""
        self._cold_server = cold_server
        cold_server.on_change(lambda: self._apply_notices(changed=True))
        self._server_ends.on_end(cold_server.apply_end)
        self._apply_notices(changed=False)

    def on_notice(self, listener: Callable[[], None]) -> None:
        """Call a listener when the server says that it leaves or is limited."""
        self._on_notice = listener

    def add_guard(self, guard: Callable[[], None]) -> None:
        """Add a function that raises an error for requests to refuse."""
        self._guards.append(guard)

    def learn_rate_limit(self, options: AttemptOptions) -> None:
        """Take over the server's rate limit as another node remembers it."""
        if self._is_cold_pace(options.rate_limit):
            return
        if options.lifetime == self._current_lifetime:
            changed = self._notices.learn(options.lifetime, options.rate_limit)
            self._apply_notices(changed=changed)

    def apply_response(self, info: ServerInfo, head: ResponseHead) -> None:
        """Apply what a response of the server says about the server itself."""
        if info.lifetime != self._current_lifetime:
            return
        changed = self._notices.apply(info.lifetime, head)
        gate = self._gate
        unknown = self._reports.count_unknown(
            info.lifetime, head, gate.in_use, gate.slots
        )
        if unknown is not None:
            self._occupy(unknown)
        if self._metadata_headers.says_leaving(head.headers):
            changed |= self._server.apply_leaving(info.lifetime)
        self._apply_notices(changed=changed)

    def record_abandoned(self, info: ServerInfo) -> None:
        """Count a request that the server may run on although it was cut off.

        Its slot counts as taken until the server's next report.
        """
        if info.lifetime == self._current_lifetime:
            gate = self._gate
            self._occupy(min(gate.slots, gate.occupied + 1))

    def close(self) -> None:
        """Refuse new requests from now on; running ones may finish."""
        self._closed = True
        self.refuse_unservable()

    async def check_periodically(self) -> None:
        """Check whether the server is cold whenever that is unknown."""
        if self._cold_server is not None:
            await self._cold_server.check_periodically(
                self._pool, self._metadata_headers
            )

    def record_connect(self, error: BluebellError | None) -> None:
        """Record a connection to the server, or why there is none."""
        self._server.record_connect(failed=error is not None)
        if self._cold_server is not None:
            self._cold_server.record_connect(error)

    def record_pass(self) -> None:
        """Count a request that is passed to the server now.

        Raises
        ------
        OverloadedError
            When the server is cold and gets no more now; it did not run.
        """
        if self._cold_server is not None:
            self._cold_server.record_pass()

    def refresh(self) -> None:
        """Apply the server's latest state and the time."""
        if self._cold_server is not None:
            self._cold_server.refresh()
        self.refuse_unservable()

    def refuse_unservable(self) -> None:
        """Refuse waiting requests that the server can't run any more."""
        self._waits.refuse_unservable(self.check)

    def check(
        self, routed: RoutedRequest, options: AttemptOptions
    ) -> ServerInfo:
        """Return the server if it may run a request now.

        Also applies the server's current number of slots and, after a restart
        of the server, discards its earlier measurements and connections.

        Raises
        ------
        BluebellError
            With the reason why it may not; the request did not run.
        """
        info = self._find_server(routed, options)
        for guard in self._guards:
            guard()
        if self._closed or not self._server.is_usable:
            raise DrainingError('The server accepts no new requests.')
        self.check_cutoff(routed)
        if not self._versions.admits(
            info.service, info.version, for_target=options.for_target
        ):
            raise VersionStoppedError(
                "The server's version may not receive this request."
            )
        if self._current_lifetime != info.lifetime:
            self._start_lifetime(info)
        self._gate.resize(info.slots)
        return info

    def check_cutoff(self, routed: RoutedRequest) -> None:
        """Check that a request can end before its node stops.

        Raises
        ------
        OverloadedError
            When it can't; it did not run.
        """
        if not routed.is_cut_short:
            return
        now = self._clock.elapsed()
        hold_time = self._measurements.hold_times.get(routed.route)
        latest_start = find_latest_start(
            routed.cutoff, hold_time, now, is_cut_short=True
        )
        if now > latest_start:
            raise OverloadedError(
                'The request can not end before its node stops.'
            )

    def _find_server(
        self, routed: RoutedRequest, options: AttemptOptions
    ) -> ServerInfo:
        info = self._server.info
        if info is None or info.lifetime != options.lifetime:
            raise NoServerError(
                'The requested server is not the one beside this node.'
            )
        if info.service != routed.service:
            raise NoServerError('The server belongs to another service.')
        return info

    def record(
        self,
        routed: RoutedRequest,
        info: ServerInfo,
        status: RequestStatus,
        latency: dt.timedelta,
    ) -> None:
        """Record the outcome of a request at the server."""
        self._measurements.record(routed.route, status, latency)
        self._recorder.record(
            info.service,
            info.version,
            routed.route,
            status,
            latency,
            is_warm=self._clock.elapsed() >= info.warmup_ends_at,
        )

    def _occupy(self, unknown: int) -> None:
        """Count slots as taken by requests that this node doesn't know."""
        period = choose_unknown_time(self._gate.service_time)
        self._gate.occupy(unknown, period)

    def _is_cold_pace(self, rate_limit: float | None) -> bool:
        """Return whether a limit is the pace that this node has reported."""
        return (
            self._cold_server is not None
            and rate_limit == self._cold_server.pace
        )

    def _apply_notices(self, *, changed: bool) -> None:
        rate_limit = self._notices.rate_limit or None
        if self._cold_server is not None:
            rate_limit = self._cold_server.limit(rate_limit)
        if rate_limit != self._gate.rate:
            self._gate.set_rate(rate_limit)
        if changed:
            self._on_notice()

    def _start_lifetime(self, info: ServerInfo) -> None:
        self._current_lifetime = info.lifetime
        self._measurements.clear()
        self._running.forget_calls()
        self._server_ends.begin_lifetime(info.lifetime)
        self._notices.begin_lifetime()
        self._reports.begin_lifetime()
        self._occupy(0)
        self._apply_notices(changed=False)
        self._pool.forget(info.address)


def _ignore_notice() -> None:
    """Do nothing: there is no listener."""
