"""Errors as the administration API answers them."""

from collections.abc import Mapping
from typing import Final

import msgspec

from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.models.admin import ErrorBody
from bluebellslip._internal.models.error_responses import ERROR_RESPONSES

_PHRASES: Final = {400: 'Bad Request', 413: 'Content Too Large'}


def view_error(error: BluebellError) -> ErrorBody:
    """Return an error's body."""
    return ErrorBody(
        kind=error.kind,
        message=error.message,
        context=error.context,
        hint=error.hint,
    )


def list_error_headers(error: BluebellError) -> Mapping[str, str]:
    """Return the headers that go with an error."""
    answer = ERROR_RESPONSES[error.kind]
    headers = {'bluebell-error': str(error.kind)}
    if answer.not_run:
        headers['bluebell-not-run'] = '1'
    if answer.retry_after is not None:
        headers['retry-after'] = f'{answer.retry_after.total_seconds():.0f}'
    return headers


def encode_last_answer(error: BluebellError) -> bytes:
    """Return an error as the last answer of a connection.

    It serves where a request is too broken to reach the application.
    """
    body = msgspec.json.encode(view_error(error))
    status = ERROR_RESPONSES[error.kind].status
    headers = {
        'content-type': 'application/json',
        'content-length': str(len(body)),
        'connection': 'close',
        **list_error_headers(error),
    }
    lines = [f'HTTP/1.1 {status} {_PHRASES.get(status, "Error")}']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    return '\r\n'.join([*lines, '', '']).encode() + body
