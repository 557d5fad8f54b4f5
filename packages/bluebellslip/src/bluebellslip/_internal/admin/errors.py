"""Error responses of the administration API."""

from collections.abc import Mapping
from typing import Final

import msgspec

from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.models.admin import ErrorBody
from bluebellslip._internal.models.error_responses import ERROR_RESPONSES

_REASON_PHRASES: Final = {400: 'Bad Request', 413: 'Content Too Large'}


def make_error_body(error: BluebellError) -> ErrorBody:
    """Return the response body for an error."""
    return ErrorBody(
        kind=error.kind,
        message=error.message,
        context=error.context,
        hint=error.hint,
    )


def make_error_headers(error: BluebellError) -> Mapping[str, str]:
    """Return the response headers for an error."""
    response = ERROR_RESPONSES[error.kind]
    headers = {'bluebell-error': str(error.kind)}
    if response.not_run:
        headers['bluebell-not-run'] = '1'
    if response.retry_after is not None:
        headers['retry-after'] = f'{response.retry_after.total_seconds():.0f}'
    return headers


def encode_closing_response(error: BluebellError) -> bytes:
    """Return an error as the last HTTP response on a connection.

    Used for requests that are refused before they reach the application.
    """
    body = msgspec.json.encode(make_error_body(error))
    status = ERROR_RESPONSES[error.kind].status
    headers = {
        'content-type': 'application/json',
        'content-length': str(len(body)),
        'connection': 'close',
        **make_error_headers(error),
    }
    lines = [f'HTTP/1.1 {status} {_REASON_PHRASES.get(status, "Error")}']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    return '\r\n'.join([*lines, '', '']).encode() + body
