"""An incomplete entry of KNOWN-RED.txt stops the run with an error.

Otherwise a failing test could be excused without a reason or an issue.
"""

import pytest

from lib.known_red import parse_known_red

_ENTRY = """# comment
test: tests/unit/test_a.py::test_b
command: make test
seen: 3 of 500 runs over the bound, seed 7
issue: 6
"""


def test_entry_is_parsed() -> None:
    entry = parse_known_red(_ENTRY)[0]
    assert entry.test == 'tests/unit/test_a.py::test_b'
    assert entry.issue == '6'


@pytest.mark.parametrize(
    'text', ['test: tests/unit/test_a.py::test_b\n', 'skip everything\n']
)
def test_incomplete_entry_is_an_error(text: str) -> None:
    with pytest.raises(ValueError, match=r'KNOWN-RED\.txt'):
        parse_known_red(text)
