"""Errors in documents name their kind, the path, the value and a remedy.

The tests guard against invalid documents that are accepted, and against errors
that scripts and operators can't tell apart.
"""

import json
from typing import Any

import pytest

from bluebellslip._internal.cli.config_files import check_config
from bluebellslip._internal.exceptions import (
    ErrorKind,
    InvalidConfigError,
    MalformedError,
)
from bluebellslip._internal.models.config import ConfigDocument
from bluebellslip._internal.models.error_responses import ERROR_RESPONSES
from bluebellslip._internal.utils.documents import decode_json
from bluebellslip._internal.utils.jsonc import parse_document

_CLASS = {'name': 'reads', 'target': {'latency': '250ms'}, 'timeout': '2s'}
_DOCUMENT = {
    'mesh': 'thistle-quill',
    'preference': 'safety',
    'classes': [_CLASS],
    'services': [{'name': 'orders', 'team': 'print'}],
    'routes': [
        {'name': 'r', 'service': 'orders', 'path': '/r', 'work': 'reads'}
    ],
}
# Path, found value and a part of the hint, by kind of error.
_EXPECTED_ERRORS = {
    ErrorKind.UNKNOWN_KEY: ('$.classes[0].speed', 'speed', 'timeout'),
    ErrorKind.MISSING_KEY: ('$.classes[0].timeout', 'nothing', '250ms'),
    ErrorKind.WRONG_TYPE: ('$.classes[0].priority', '"high"', '0 to 9'),
    ErrorKind.BAD_VALUE: ('$.classes[0].runs', '"twice"', 'idempotent, once'),
    ErrorKind.BAD_DURATION: ('$.classes[0].timeout', '"2 sec"', '250ms'),
    ErrorKind.DUPLICATE_NAME: ('$.services[1].name', 'orders', 'unique'),
    ErrorKind.DANGLING_REFERENCE: ('$.routes[0].service', 'gone', 'orders'),
}


def _make_invalid_document(kind: ErrorKind) -> dict[str, Any]:
    document = json.loads(json.dumps(_DOCUMENT))
    changes = {
        ErrorKind.UNKNOWN_KEY: ('classes', {'speed': 1}),
        ErrorKind.WRONG_TYPE: ('classes', {'priority': 'high'}),
        ErrorKind.BAD_VALUE: ('classes', {'runs': 'twice'}),
        ErrorKind.BAD_DURATION: ('classes', {'timeout': '2 sec'}),
        ErrorKind.DANGLING_REFERENCE: ('routes', {'service': 'gone'}),
    }
    if kind is ErrorKind.MISSING_KEY:
        document['classes'][0].pop('timeout')
    elif kind is ErrorKind.DUPLICATE_NAME:
        document['services'] *= 2
    else:
        section, change = changes[kind]
        document[section][0].update(change)
    return document


def _check(text: str) -> ConfigDocument:
    document = parse_document(text, ConfigDocument, 'mesh.json5')
    check_config(document, 'mesh.json5')
    return document


@pytest.mark.parametrize('kind', _EXPECTED_ERRORS)
def test_error_names_path_found_value_and_remedy(kind: ErrorKind) -> None:
    path, found, remedy = _EXPECTED_ERRORS[kind]
    with pytest.raises(InvalidConfigError) as caught:
        _check(json.dumps(_make_invalid_document(kind)))
    assert caught.value.kind is kind
    assert caught.value.context == {
        'file': 'mesh.json5',
        'path': path,
        'found': found,
    }
    assert remedy in caught.value.hint


def test_every_config_error_has_its_own_exit_code() -> None:
    kinds = {*_EXPECTED_ERRORS, ErrorKind.DUPLICATE_KEY, ErrorKind.MALFORMED}
    assert len({ERROR_RESPONSES[kind].exit_code for kind in kinds}) == len(
        kinds
    )


def test_every_kind_of_error_has_an_error_response() -> None:
    assert set(ERROR_RESPONSES) == set(ErrorKind)
    codes = [response.exit_code for response in ERROR_RESPONSES.values()]
    assert len(codes) == len(set(codes))


def test_duplicate_key_is_reported_with_its_path() -> None:
    text = '{mesh: "m", classes: [{}, {name: "a", name: "b"}]}'
    with pytest.raises(InvalidConfigError) as caught:
        _check(text)
    assert caught.value.kind is ErrorKind.DUPLICATE_KEY
    assert caught.value.context['path'] == '$.classes[1]'


@pytest.mark.parametrize(
    'text',
    ['', '{', '{a: }', '[[' * 9000, '{"a": 1} {', 'nul', '{a: 1,, b: 2}'],
)
def test_malformed_text_is_one_clear_error(text: str) -> None:
    with pytest.raises(MalformedError) as caught:
        _check(text)
    assert caught.value.context['found']


@pytest.mark.parametrize('body', [b'', b'\xff\xfe', b'[' * 99999, b'{"a":1'])
def test_malformed_body_is_one_clear_error(body: bytes) -> None:
    with pytest.raises(MalformedError) as caught:
        decode_json(body, ConfigDocument, 'request body')
    assert caught.value.context['found']


def test_name_with_a_newline_is_refused() -> None:
    document = {**_DOCUMENT, 'mesh': 'thistle-quill\n'}
    with pytest.raises(InvalidConfigError) as caught:
        _check(json.dumps(document))
    assert caught.value.kind is ErrorKind.BAD_VALUE


def test_comments_and_trailing_commas_are_accepted() -> None:
    text = json.dumps(_DOCUMENT).replace('{', '{ // why\n', 1)
    assert _check(f'{text[:-1]},}}').mesh == 'thistle-quill'
