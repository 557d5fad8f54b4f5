"""The capacity page shows the table computed from the committed results.

The page becomes outdated when new results are committed without rendering the
table again.
"""

from pathlib import Path

import pytest
from bench.capacity import PAGE, render_table, replace_table

_ROOT = Path(__file__).parent.parent.parent


def test_page_matches_the_generated_table() -> None:
    page = (_ROOT / PAGE).read_text(encoding='utf-8')
    table = render_table(_ROOT / 'bench' / 'results')
    assert replace_table(page, table) == page


def test_page_without_markers_is_an_error() -> None:
    with pytest.raises(ValueError, match='marks'):
        replace_table('no table here', '')
