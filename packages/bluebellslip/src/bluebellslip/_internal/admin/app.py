"""The administration API as an ASGI application."""

import contextlib
import dataclasses
import logging
from collections.abc import Mapping
from typing import Final
from urllib.parse import parse_qsl

import anyio
import msgspec
from expression import Result

from bluebellslip._internal.admin.auditing import Auditor
from bluebellslip._internal.admin.bodies import (
    AsgiScope,
    Receive,
    Send,
    read_body,
)
from bluebellslip._internal.admin.errors import (
    make_error_body,
    make_error_headers,
)
from bluebellslip._internal.admin.routing import (
    AdminCall,
    AdminRoute,
    AuditPolicy,
    HandlerResult,
    find_route,
)
from bluebellslip._internal.admin.tokens import TokenAuthenticator, TokenHolder
from bluebellslip._internal.exceptions import (
    BluebellError,
    DrainingError,
    ErrorKind,
    PlatformOutcomeUnknownError,
)
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.models.admin import RawBody
from bluebellslip._internal.models.error_responses import ERROR_RESPONSES

logger = logging.getLogger(__name__)

CALL_TIMEOUT_SECONDS: Final = 30.0
_OK: Final = 200
_READ_METHOD: Final = 'GET'
_UNAUTHENTICATED: Final = TokenHolder(
    name='unauthenticated', scopes=frozenset()
)
_MAX_QUERY_FIELDS: Final = 16


@dataclasses.dataclass(slots=True, eq=False)
class _RunningCall:
    """A call without a response; it can be interrupted by its scope.

    ``may_have_changed`` is set once the call may have made a change.
    """

    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )
    may_have_changed: bool = False

    def make_interruption(self) -> BluebellError:
        """Return the error for a call that ended with the node."""
        if self.may_have_changed:
            return PlatformOutcomeUnknownError(
                'The node stopped before the call did; it may have made its '
                'change.',
                hint='Ask another node before you send it again.',
            )
        return DrainingError('The node is stopping.', hint='Ask another node.')


class AdminApp:
    """Routes and authorises calls, runs their handlers and audits refusals.

    Parameters
    ----------
    context
        The node's shared state.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._authenticator = TokenAuthenticator.from_settings(
            context.settings.tokens
        )
        self._auditor = Auditor(context)
        self._running: set[_RunningCall] = set()
        self._interrupted = False

    async def __call__(
        self, scope: AsgiScope, receive: Receive, send: Send
    ) -> None:
        """Serve one request within ``CALL_TIMEOUT_SECONDS``.

        The limit also ends calls whose client does not read the response.
        """
        if scope['type'] != 'http':
            return
        deadline = anyio.move_on_after(CALL_TIMEOUT_SECONDS)
        with deadline:
            await self._respond(scope, receive, send)
        if deadline.cancelled_caught:
            self._context.counters.add('admin_calls_given_up')

    def interrupt(self) -> None:
        """Respond with an error to the running calls and to later ones."""
        self._interrupted = True
        for running in self._running:
            running.scope.cancel()

    async def _respond(
        self, scope: AsgiScope, receive: Receive, send: Send
    ) -> None:
        result = await self._dispatch_unless_interrupted(scope, receive)
        match result:
            case Result(tag='ok', ok=body):
                await _send(send, _OK, {}, body)
            case Result(error=error):
                self._context.counters.add('admin_refused', kind=error.kind)
                await _send_error(send, error)

    async def _dispatch_unless_interrupted(
        self, scope: AsgiScope, receive: Receive
    ) -> HandlerResult:
        running = _RunningCall()
        if self._interrupted:
            return Result.Error(running.make_interruption())
        self._running.add(running)
        with contextlib.ExitStack() as stack:
            stack.callback(self._running.discard, running)
            with running.scope:
                return await self._dispatch(scope, receive, running)
            return Result.Error(running.make_interruption())

    async def _dispatch(
        self, scope: AsgiScope, receive: Receive, running: _RunningCall
    ) -> HandlerResult:
        try:
            route, path_parameters = find_route(scope['method'], scope['path'])
        except BluebellError as error:
            return Result.Error(error)
        self._context.counters.add('admin_calls', route=route.path)
        try:
            return await self._run_handler(
                route, path_parameters, scope, receive, running
            )
        except BluebellError as failure:
            return Result.Error(failure)
        except Exception as fault:
            logger.exception('admin call failed', extra={'route': route.path})
            return Result.Error(
                BluebellError(
                    'The node failed to handle this call.',
                    context={'fault': type(fault).__name__},
                    hint="See the node's log for the traceback.",
                )
            )

    async def _run_handler(
        self,
        route: AdminRoute,
        path_parameters: Mapping[str, str],
        scope: AsgiScope,
        receive: Receive,
        running: _RunningCall,
    ) -> HandlerResult:
        holder = _UNAUTHENTICATED
        subject = '/'.join(path_parameters.values()) or route.path
        try:
            if route.scope is not None:
                holder = self._authorise(route, scope)
            call = AdminCall(
                context=self._context,
                holder=holder,
                path_parameters=path_parameters,
                query=_parse_query(scope['query_string']),
                body=await read_body(receive),
            )
            result = await self._handle(route, call, running)
        except BluebellError as error:
            await self._audit_refusal(route, holder, subject, error)
            raise
        if result.is_error() and route.audit_policy is AuditPolicy.REFUSALS:
            await self._audit_refusal(route, holder, subject, result.error)
        return result

    async def _handle(
        self, route: AdminRoute, call: AdminCall, running: _RunningCall
    ) -> HandlerResult:
        running.may_have_changed = route.method != _READ_METHOD
        return await route.handler(call)

    def _authorise(self, route: AdminRoute, scope: AsgiScope) -> TokenHolder:
        holder = self._authenticator.authenticate(
            _find_header(scope, b'authorization')
        )
        if route.scope is not None:
            holder.require_scope(route.scope)
        return holder

    async def _audit_refusal(
        self,
        route: AdminRoute,
        holder: TokenHolder,
        subject: str,
        error: BluebellError,
    ) -> None:
        if route.action or error.kind in _ALWAYS_AUDITED:
            action = route.action or route.method.lower()
            await self._auditor.record_refusal(
                holder.name, action, subject, error
            )


_ALWAYS_AUDITED: Final = frozenset((
    ErrorKind.UNAUTHENTICATED,
    ErrorKind.FORBIDDEN,
))


def _find_header(scope: AsgiScope, wanted: bytes) -> str:
    for name, text in scope['headers']:
        if name == wanted:
            return bytes(text).decode('latin-1')
    return ''


def _parse_query(query: bytes) -> Mapping[str, str]:
    try:
        return dict(
            parse_qsl(query.decode('latin-1'), max_num_fields=_MAX_QUERY_FIELDS)
        )
    except ValueError:
        return {}


async def _send_error(send: Send, error: BluebellError) -> None:
    headers = make_error_headers(error)
    await _send(
        send,
        ERROR_RESPONSES[error.kind].status,
        headers,
        make_error_body(error),
    )


async def _send(
    send: Send, status: int, headers: Mapping[str, str], body: msgspec.Struct
) -> None:
    encoded = (
        body.raw if isinstance(body, RawBody) else msgspec.json.encode(body)
    )
    fields = {
        'content-type': 'application/json',
        'content-length': str(len(encoded)),
        **headers,
    }
    await send({
        'type': 'http.response.start',
        'status': status,
        'headers': [
            (name.encode(), text.encode()) for name, text in fields.items()
        ],
    })
    await send({'type': 'http.response.body', 'body': encoded})
