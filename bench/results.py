"""Files and tables of results, and a least-squares fit."""

import json
import platform
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Final

Scalar = str | int | float | bool | None
ResultRow = Mapping[str, Scalar]

OUTPUT_DIRECTORY: Final = Path('build/bench')
COMMITTED_RESULTS: Final = Path('bench/results')


def write_results(
    name: str, rows: Sequence[ResultRow], **facts: Scalar
) -> Path:
    """Write the rows of one measurement as JSON and return the file's path.

    Parameters
    ----------
    name
        Name of the measurement's module.
    rows
        One flat mapping for each row; units are part of the keys.
    facts
        Values that hold for the whole run, such as the seed.
    """
    OUTPUT_DIRECTORY.mkdir(parents=True, exist_ok=True)
    path = OUTPUT_DIRECTORY / f'{name}.json'
    envelope = {
        'name': name,
        'python': platform.python_version(),
        'facts': facts,
        'rows': list(rows),
    }
    path.write_text(json.dumps(envelope, indent=1), encoding='utf-8')
    return path


def print_rows(rows: Sequence[ResultRow]) -> None:
    """Print rows as a table with the keys of the first row as its header."""
    header = list(rows[0])
    body = [[_format_cell(row.get(key)) for key in header] for row in rows]
    lines = [header, *body]
    widths = [
        max(len(line[column]) for line in lines)
        for column in range(len(header))
    ]
    for line in lines:
        print(
            '  '.join(
                text.rjust(width)
                for text, width in zip(line, widths, strict=True)
            )
        )


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return the slope and the intercept of the least-squares line.

    Raises
    ------
    ValueError
        When all x values are equal.
    """
    count = len(points)
    mean_x = sum(point[0] for point in points) / count
    mean_y = sum(point[1] for point in points) / count
    sum_xx = sum((point[0] - mean_x) ** 2 for point in points)
    if not sum_xx:
        raise ValueError('a line fit needs two different x values')
    sum_xy = sum((point[0] - mean_x) * (point[1] - mean_y) for point in points)
    slope = sum_xy / sum_xx
    return slope, mean_y - slope * mean_x


def _format_cell(cell: Scalar) -> str:
    if isinstance(cell, float):
        return f'{cell:.4g}'
    return str(cell)
