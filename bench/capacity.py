"""Renders the table of docs/CAPACITY.md from the committed results.

Run as ``python -m bench.capacity`` to print it, and with ``--write`` to also
replace the table in the page.
"""

import argparse
from itertools import starmap
from pathlib import Path
from typing import Final

from bench.capacity_model import (
    CapacityInputs,
    CapacityLimits,
    Measurements,
    MeshSize,
)
from bench.capacity_rows import CapacityRow, compute_rows
from bench.results import COMMITTED_RESULTS

PAGE: Final = Path('docs/CAPACITY.md')
BEGIN_MARKER: Final = '<!-- table: begin -->'
END_MARKER: Final = '<!-- table: end -->'
_HEADER: Final = (
    '| role | what | at the size | at twice | limit | verdict | at twice '
    '| mechanism | measured by |\n'
    '|---|---|---|---|---|---|---|---|---|\n'
)
_GROWTH_FACTOR: Final = 2


def render_table(results: Path = COMMITTED_RESULTS) -> str:
    """Return the table as Markdown, for the mesh size and its double."""
    measurements = Measurements.from_results(results)
    limits = CapacityLimits()
    size = MeshSize()
    capacity_rows = compute_rows(CapacityInputs(size, measurements, limits))
    doubled_rows = compute_rows(
        CapacityInputs(size.grow(_GROWTH_FACTOR), measurements, limits)
    )
    rows = starmap(_render_row, zip(capacity_rows, doubled_rows, strict=True))
    return _HEADER + ''.join(rows)


def replace_table(page: str, table: str) -> str:
    """Return the page with the table between its marker comments replaced.

    Raises
    ------
    ValueError
        When the page lacks a marker comment.
    """
    before, begin, rest = page.partition(BEGIN_MARKER)
    _, end, after = rest.partition(END_MARKER)
    if not begin or not end:
        raise ValueError(f'{PAGE} lacks a comment that marks the table')
    return f'{before}{BEGIN_MARKER}\n{table}{END_MARKER}{after}'


def main() -> None:
    """Print the table, and write it into the page if asked to."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--write', action='store_true')
    options = parser.parse_args()
    table = render_table()
    print(table)
    if options.write:
        page = PAGE.read_text(encoding='utf-8')
        PAGE.write_text(replace_table(page, table), encoding='utf-8')


def _render_row(row: CapacityRow, doubled_row: CapacityRow) -> str:
    limit = '' if row.limit is None else f'{row.limit:g} {row.unit}'
    cells = (
        row.role,
        row.quantity,
        f'{row.amount:.3g} {row.unit}',
        f'{doubled_row.amount:.3g}',
        limit,
        row.verdict,
        doubled_row.verdict,
        row.mechanism,
        row.command,
    )
    return f'| {" | ".join(cells)} |\n'


if __name__ == '__main__':
    main()
