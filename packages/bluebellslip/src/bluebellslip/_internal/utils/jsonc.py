"""Documents in JSON with comments, checked against their model."""

from pathlib import Path
from typing import Any, Final, TypeVar

import json5
import msgspec

from bluebellslip._internal.exceptions import (
    InvalidConfigError,
    MalformedError,
    TooLargeError,
)
from bluebellslip._internal.utils.documents import (
    ObjectBuilder,
    convert_tree,
    describe_parse_error,
)

_Model = TypeVar('_Model', bound=msgspec.Struct)

MAX_FILE_BYTES: Final = 1 << 20
_FILE: Final = 'file'


def load_document(path: Path, model: type[_Model]) -> _Model:
    """Read a file and convert its content to a model.

    Raises
    ------
    MalformedError
        When the file can't be read or is not JSON with comments.
    TooLargeError
        When the file exceeds ``MAX_FILE_BYTES``.
    InvalidConfigError
        When a key occurs twice in one object or the content does not fit the
        model.
    """
    return parse_document(read_text(path), model, str(path))


def read_text(path: Path) -> str:
    """Return a file's text.

    Raises
    ------
    MalformedError
        When the file can't be read or is not UTF-8.
    TooLargeError
        When the file exceeds ``MAX_FILE_BYTES``.
    """
    try:
        body = path.read_bytes()
    except OSError as error:
        raise MalformedError(
            'A file cannot be read.',
            context={_FILE: str(path), 'found': error.strerror or str(error)},
            hint='Check the path and its permissions.',
        ) from error
    if len(body) > MAX_FILE_BYTES:
        raise TooLargeError(
            'A file is too large.',
            context={_FILE: str(path), 'found': f'{len(body)} bytes'},
            hint=f'Allowed are {MAX_FILE_BYTES} bytes.',
        )
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        raise MalformedError(
            'A file is not text in UTF-8.',
            context={_FILE: str(path), 'found': str(error)},
            hint='Save the file in UTF-8.',
        ) from error


def parse_document(text: str, model: type[_Model], source: str) -> _Model:
    """Parse a document and convert it to a model.

    Errors name ``source`` as the file of the document.
    """
    return convert_tree(parse_tree(text, source), model, source)


def parse_tree(text: str, source: str) -> Any:
    """Parse JSON with comments.

    Errors name ``source`` as the file of the document.

    Raises
    ------
    MalformedError
        When the text can't be parsed. A syntax error is reported with its line
        and column.
    InvalidConfigError
        When the text is not an object, or a key occurs twice in one object.
    """
    builder = ObjectBuilder()
    try:
        tree = json5.loads(text, object_pairs_hook=builder.build)
    except (ValueError, RecursionError) as error:
        found = describe_parse_error(error).replace('<string>:', 'line ')
        raise MalformedError(
            'A document is not JSON with comments.',
            context={_FILE: source, 'found': found},
            hint='Check quotes, commas and brackets at that place.',
        ) from error
    if not isinstance(tree, dict):
        raise InvalidConfigError(
            'A document must be one object.',
            context={_FILE: source, 'found': type(tree).__name__},
            hint='Write { ... } around it.',
        )
    builder.check(tree, source)
    return tree
