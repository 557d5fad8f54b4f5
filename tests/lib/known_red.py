"""The list of tests that are known to fail for a real fault."""

import dataclasses
from pathlib import Path

_FIELDS = ('test', 'command', 'seen', 'issue')


@dataclasses.dataclass(frozen=True, slots=True)
class KnownRed:
    """One entry: the test, how to run it, the failure seen and the issue."""

    test: str
    command: str
    seen: str
    issue: str


def parse_known_red(text: str) -> tuple[KnownRed, ...]:
    """Parse entries, which are separated by blank lines.

    An entry consists of ``field: text`` lines. Lines that start with ``#``
    are comments.

    Raises
    ------
    ValueError
        When an entry lacks a field or a line has no known field name.
    """
    entries = []
    fields: dict[str, str] = {}
    for line in f'{text}\n\n'.splitlines():
        if line.startswith('#'):
            continue
        if line.strip():
            name, separator, content = line.partition(':')
            if not separator or name not in _FIELDS:
                raise ValueError(
                    f'KNOWN-RED.txt: no known field name in {line!r}'
                )
            fields[name] = content.strip()
        elif fields:
            entries.append(_build_entry(fields))
            fields = {}
    return tuple(entries)


def read_known_red(path: Path) -> tuple[KnownRed, ...]:
    """Parse a file; return no entries if it does not exist."""
    if not path.exists():
        return ()
    return parse_known_red(path.read_text(encoding='utf-8'))


def _build_entry(fields: dict[str, str]) -> KnownRed:
    missing = [name for name in _FIELDS if not fields.get(name)]
    if missing:
        raise ValueError(f'KNOWN-RED.txt: the entry {fields} lacks {missing}')
    return KnownRed(**fields)
