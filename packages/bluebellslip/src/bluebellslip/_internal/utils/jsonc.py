"""Documents in JSON with comments, checked against their model."""

from pathlib import Path
from typing import TypeVar

import json5
import msgspec

from bluebellslip._internal.exceptions import (
    InvalidConfigError,
    MalformedError,
)

_Model = TypeVar('_Model', bound=msgspec.Struct)


def load_document(path: Path, model: type[_Model]) -> _Model:
    """Read and check a file.

    Raises
    ------
    MalformedError
        When the file can't be read or is no JSON with comments.
    InvalidConfigError
        When its content does not fit the model.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as error:
        raise MalformedError(
            'A file can not be read.',
            context={'file': str(path), 'found': str(error)},
        ) from error
    return parse_document(text, model, str(path))


def parse_document(text: str, model: type[_Model], source: str) -> _Model:
    """Check a text; ``source`` names it in errors."""
    try:
        tree = json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        raise MalformedError(
            'A document is no JSON with comments.',
            context={'file': source, 'found': str(error)},
        ) from error
    try:
        return msgspec.convert(tree, model)
    except msgspec.ValidationError as error:
        raise InvalidConfigError(
            'A document does not fit its model.',
            context={'file': source, 'found': str(error)},
        ) from error
