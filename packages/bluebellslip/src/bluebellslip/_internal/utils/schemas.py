"""Descriptions in words of what a model allows at a path of a document."""

from collections.abc import Callable, Mapping, Sequence
from types import MappingProxyType
from typing import Any, Final

from msgspec import Struct, inspect

from bluebellslip._internal.models import config, settings

Step = str | int

_PATTERN_DESCRIPTIONS: Final[Mapping[str, str]] = MappingProxyType({
    config.DURATION_PATTERN: (
        'a whole number of 1 to 6 digits and a unit, such as 250ms, 2s, 5m '
        'or 1h'
    ),
    config.NAME_PATTERN: (
        'a name of at most 63 lower-case letters, digits, dots and dashes '
        'that begins and ends with a letter or digit'
    ),
    config.METHOD_PATTERN: 'an HTTP method in capitals, or *',
    config.PATH_PATTERN: 'a path of at most 1024 characters that begins with /',
    settings.ADDRESS_PATTERN: 'an address such as 127.0.0.1:7000',
    settings.URL_PATTERN: 'a URL such as http://127.0.0.1:7000',
    settings.DIGEST_PATTERN: '64 lower-case hexadecimal digits',
})


def find_type(
    model: type[Struct], steps: Sequence[Step]
) -> inspect.Type | None:
    """Return the type at a path; None if the model has no such path."""
    found: inspect.Type | None = inspect.type_info(model)
    for step in steps:
        if found is None:
            return None
        found = _descend(_strip_none(found), step)
    return found


def describe_allowed(model: type[Struct], steps: Sequence[Step]) -> str:
    """Describe what a path may hold; empty if the path is unknown."""
    found = find_type(model, steps)
    return '' if found is None else describe_type(found)


def describe_type(found: inspect.Type) -> str:
    """Describe in words what a type allows."""
    stripped = _strip_none(found)
    for kind, describe in _DESCRIBERS:
        if isinstance(stripped, kind):
            return describe(stripped)
    return type(stripped).__name__.removesuffix('Type').lower()


def list_keys(model: type[Struct], steps: Sequence[Step]) -> tuple[str, ...]:
    """Return the keys that the object at a path may have."""
    found = find_type(model, steps)
    return () if found is None else _list_fields(_strip_none(found))


def is_duration(model: type[Struct], steps: Sequence[Step]) -> bool:
    """Return whether a path holds a duration."""
    found = find_type(model, steps)
    if found is None:
        return False
    stripped = _strip_none(found)
    return (
        isinstance(stripped, inspect.StrType)
        and stripped.pattern == config.DURATION_PATTERN
    )


def _list_fields(found: inspect.Type) -> tuple[str, ...]:
    if isinstance(found, inspect.StructType):
        return tuple(field.encode_name for field in found.fields)
    return ()


def _strip_none(found: inspect.Type) -> inspect.Type:
    if isinstance(found, inspect.UnionType):
        for member in found.types:
            if not isinstance(member, inspect.NoneType):
                return member
    return found


def _descend(found: inspect.Type, step: Step) -> inspect.Type | None:
    if isinstance(found, inspect.StructType):
        for field in found.fields:
            if field.encode_name == step:
                return field.type
        return None
    if isinstance(found, (inspect.VarTupleType, inspect.ListType)):
        return found.item_type
    return None


def _describe_struct(found: Any) -> str:
    keys = ', '.join(_list_fields(found))
    return f'an object with the keys {keys}'


def _describe_enum(found: Any) -> str:
    options = ', '.join(str(option.value) for option in found.cls)
    return f'one of {options}'


def _describe_text(found: Any) -> str:
    known = _PATTERN_DESCRIPTIONS.get(found.pattern)
    if known is not None:
        return known
    if found.min_length:
        return f'a text of at least {found.min_length} characters'
    return 'a text'


def _describe_whole_number(found: Any) -> str:
    return f'a whole number{_describe_range(found)}'


def _describe_number(found: Any) -> str:
    return f'a number{_describe_range(found)}'


def _describe_range(found: Any) -> str:
    bounds = (
        ('over', found.gt),
        ('from', found.ge),
        ('under', found.lt),
        ('to', found.le),
    )
    return ''.join(
        f' {word} {bound}' for word, bound in bounds if bound is not None
    )


def _describe_list(found: Any) -> str:
    return f'a list; each entry is {describe_type(found.item_type)}'


def _describe_time(found: Any) -> str:
    return 'a time with its zone, such as 2026-05-01T17:00:00+12:00'


_DESCRIBERS: Final[
    tuple[tuple[type[inspect.Type], Callable[[Any], str]], ...]
] = (
    (inspect.StructType, _describe_struct),
    (inspect.EnumType, _describe_enum),
    (inspect.StrType, _describe_text),
    (inspect.IntType, _describe_whole_number),
    (inspect.FloatType, _describe_number),
    (inspect.VarTupleType, _describe_list),
    (inspect.ListType, _describe_list),
    (inspect.DateTimeType, _describe_time),
)
