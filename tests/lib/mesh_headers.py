"""Headers that nodes exchange among themselves, as the code defines them."""

import ast
import itertools
from collections.abc import Iterator
from pathlib import Path

import bluebellslip_platform
from bluebellslip import _internal
from bluebellslip._internal.calls.headers import MESH_PREFIX


def find_mesh_headers() -> list[str]:
    """Return the names of all headers with the mesh's prefix in the code."""
    paths = itertools.chain.from_iterable(
        Path(package.__path__[0]).rglob('*.py')
        for package in (_internal, bluebellslip_platform)
    )
    names = itertools.chain.from_iterable(map(_find_names, paths))
    return sorted({name.decode() for name in names})


def _find_names(path: Path) -> Iterator[bytes]:
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        if not isinstance(node, ast.Constant):
            continue
        if not isinstance(node.value, bytes) or node.value == MESH_PREFIX:
            continue
        if node.value.startswith(MESH_PREFIX):
            yield node.value
