"""Validation of JSON trees against their model, with precise errors."""

import dataclasses
import json
import re
from collections.abc import Iterable, Iterator
from typing import Any, Final, TypeVar

import msgspec

from bluebellslip._internal.exceptions import (
    BadDurationError,
    BadValueError,
    DuplicateKeyError,
    InvalidConfigError,
    MalformedError,
    MissingKeyError,
    UnknownKeyError,
    WrongTypeError,
)

_Model = TypeVar('_Model', bound=msgspec.Struct)
_Step = str | int

_LOCATION_PATTERN: Final = re.compile(r' - at `(.*)`$')
_FIELD_PATTERN: Final = re.compile(r'field `([^`]*)`')
_PATH_STEP_PATTERN: Final = re.compile(r'\.([^.\[]+)|\[([0-9]+)\]')
_ROOT: Final = '$'
_FILE: Final = 'file'
_PATH: Final = 'path'
_FOUND: Final = 'found'
_MAX_SHOWN_CHARS: Final = 80  # of a value in an error


class ObjectBuilder:
    """Builds the objects of one document and records duplicate keys."""

    def __init__(self) -> None:
        self._duplicates: dict[int, str] = {}

    def build(self, pairs: Iterable[tuple[str, Any]]) -> dict[str, Any]:
        """Build an object from its keys and values in their order."""
        entries = list(pairs)
        built = dict(entries)
        if len(built) != len(entries):
            names = [name for name, _ in entries]
            self._duplicates[id(built)] = next(
                name for name in names if names.count(name) > 1
            )
        return built

    def check(self, tree: Any, source: str) -> None:
        """Check that no object of the parsed document has a key twice.

        Raises
        ------
        DuplicateKeyError
            With the file, the object's path and the key.
        """
        if not self._duplicates:
            return
        for path, branch in _walk(tree, _ROOT):
            name = self._duplicates.get(id(branch))
            if name is not None:
                raise DuplicateKeyError(
                    'A key occurs twice in one object.',
                    context={_FILE: source, _PATH: path, _FOUND: name},
                    hint='Keep one of the two.',
                )


@dataclasses.dataclass(frozen=True, slots=True)
class _Violation:
    """A violation of the model, and its location in the tree."""

    message: str
    path: str
    steps: tuple[_Step, ...]
    found: Any

    @classmethod
    def from_error(cls, tree: Any, error: Exception) -> '_Violation':
        """Extract the location from a validation error's text."""
        text = str(error)
        location = _LOCATION_PATTERN.search(text)
        path = location[1] if location else _ROOT
        message = text[: location.start()] if location else text
        field = _FIELD_PATTERN.search(message)
        if field is not None:
            path = f'{path}.{field[1]}'
        steps = _split_path(path)
        return cls(message, path, steps, _look_up(tree, steps))

    @property
    def shown(self) -> str:
        """The value that was found, as JSON, truncated."""
        text = json.dumps(self.found, default=str)
        if len(text) <= _MAX_SHOWN_CHARS:
            return text
        return f'{text[:_MAX_SHOWN_CHARS]}...'


def decode_json(body: bytes, model: type[_Model], source: str) -> _Model:
    """Parse JSON and convert it to a model.

    Errors name ``source`` as the file of the document.

    Raises
    ------
    MalformedError
        When the bytes are not JSON in UTF-8.
    InvalidConfigError
        When a key occurs twice in one object or the content does not fit the
        model; see ``convert_tree``.
    """
    builder = ObjectBuilder()
    try:
        tree = json.loads(body, object_pairs_hook=builder.build)
    except (ValueError, RecursionError) as error:
        raise MalformedError(
            'The text is not JSON.',
            context={_FILE: source, _FOUND: describe_parse_error(error)},
            hint='Send one JSON object in UTF-8.',
        ) from error
    builder.check(tree, source)
    return convert_tree(tree, model, source)


def describe_parse_error(error: Exception) -> str:
    """Return the text of a parser's error, or why the parser gave up."""
    if isinstance(error, RecursionError):
        return 'objects or lists are nested too deeply'
    return str(error)


def convert_tree(tree: Any, model: type[_Model], source: str) -> _Model:
    """Convert a parsed document to its model.

    Raises
    ------
    InvalidConfigError
        When the document does not fit the model. The subclass depends on the
        violation; the error has the file, the path in the document, what was
        found and what is allowed.
    """
    try:
        return msgspec.convert(tree, model)
    except msgspec.ValidationError as error:
        violation = _Violation.from_error(tree, error)
    raise _explain(violation, model, source)


def _explain(
    violation: _Violation, model: type[msgspec.Struct], source: str
) -> InvalidConfigError:
    # Imported only for an invalid document, so that the descriptions of the
    # models don't take up memory in every node.
    from bluebellslip._internal.utils import schemas

    where = {_FILE: source, _PATH: violation.path}
    if 'unknown field' in violation.message:
        keys = ', '.join(schemas.list_keys(model, violation.steps[:-1]))
        return UnknownKeyError(
            'A key is unknown here.',
            context={**where, _FOUND: str(violation.steps[-1])},
            hint=f'Allowed are: {keys}',
        )
    allowed = schemas.describe_allowed(model, violation.steps)
    if 'missing required field' in violation.message:
        return MissingKeyError(
            'A key is missing.',
            context={**where, _FOUND: 'nothing'},
            hint=f'Write {violation.steps[-1]}: {allowed}',
        )
    kind = _classify(
        violation, is_duration=schemas.is_duration(model, violation.steps)
    )
    return kind(
        _MESSAGES[kind],
        context={**where, _FOUND: violation.shown},
        hint=f'Allowed is {allowed}.',
    )


def _classify(
    violation: _Violation, *, is_duration: bool
) -> type[InvalidConfigError]:
    if is_duration:
        return BadDurationError
    return WrongTypeError if ', got ' in violation.message else BadValueError


_MESSAGES: Final = {
    BadDurationError: (
        'A duration is not a whole number of 1 to 6 digits and a unit.'
    ),
    WrongTypeError: 'A value has the wrong type.',
    BadValueError: 'A value is not allowed here.',
}


def _split_path(path: str) -> tuple[_Step, ...]:
    return tuple(
        int(match[2]) if match[2] else match[1]
        for match in _PATH_STEP_PATTERN.finditer(path)
    )


def _look_up(tree: Any, steps: tuple[_Step, ...]) -> Any:
    found = tree
    for step in steps:
        try:
            found = found[step]
        except (KeyError, IndexError, TypeError):
            return None
    return found


def _walk(tree: Any, path: str) -> Iterator[tuple[str, Any]]:
    """Yield every subtree of a tree with its path."""
    yield path, tree
    if isinstance(tree, dict):
        for name, child in tree.items():
            yield from _walk(child, f'{path}.{name}')
    elif isinstance(tree, list):
        for index, entry in enumerate(tree):
            yield from _walk(entry, f'{path}[{index}]')
