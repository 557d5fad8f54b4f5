"""The table of docs/CAPACITY.md, from the committed results.

Run as ``python -m bench.capacity`` to print it, with ``--write`` to put it
into the page.
"""

import argparse
from itertools import starmap
from pathlib import Path
from typing import Final

from bench.capacity_lines import Line, compute_lines
from bench.capacity_model import Basis, Limits, Size, Slopes
from bench.results import COMMITTED_RESULTS

PAGE: Final = Path('docs/CAPACITY.md')
BEGIN: Final = '<!-- table: begin -->'
END: Final = '<!-- table: end -->'
_HEADER: Final = (
    '| role | what | at the size | at twice | limit | verdict | at twice '
    '| mechanism | measured by |\n'
    '|---|---|---|---|---|---|---|---|---|\n'
)
_DOUBLE: Final = 2


def render_table(results: Path = COMMITTED_RESULTS) -> str:
    """Return the table as Markdown."""
    slopes = Slopes.from_results(results)
    limits = Limits()
    size = Size()
    lines = compute_lines(Basis(size, slopes, limits))
    doubled = compute_lines(Basis(size.grow(_DOUBLE), slopes, limits))
    rows = starmap(_render_row, zip(lines, doubled, strict=True))
    return _HEADER + ''.join(rows)


def replace_table(page: str, table: str) -> str:
    """Return the page with the table between its marks.

    Raises
    ------
    ValueError
        When the page lacks a mark.
    """
    before, begin, rest = page.partition(BEGIN)
    _, end, after = rest.partition(END)
    if not begin or not end:
        raise ValueError(f'{PAGE} lacks the marks of the table')
    return f'{before}{BEGIN}\n{table}{END}{after}'


def main() -> None:
    """Print the table, or write it into the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--write', action='store_true')
    options = parser.parse_args()
    table = render_table()
    print(table)
    if options.write:
        page = PAGE.read_text(encoding='utf-8')
        PAGE.write_text(replace_table(page, table), encoding='utf-8')


def _render_row(line: Line, twice: Line) -> str:
    limit = '' if line.limit is None else f'{line.limit:g} {line.unit}'
    cells = (
        line.role,
        line.quantity,
        f'{line.amount:.3g} {line.unit}',
        f'{twice.amount:.3g}',
        limit,
        line.verdict,
        twice.verdict,
        line.mechanism,
        line.command,
    )
    return f'| {" | ".join(cells)} |\n'


if __name__ == '__main__':
    main()
