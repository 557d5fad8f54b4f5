"""Options that commands have in common."""

import dataclasses
import inspect
from collections.abc import Mapping
from typing import Annotated, Any, Final

import typer

DEFAULT_NODE: Final = '127.0.0.1:7400'

JsonOption = Annotated[
    bool, typer.Option('--json', help='Print JSON instead of text.')
]
NodesOption = Annotated[
    list[str],
    typer.Option(
        '--node',
        help='Admin address of a node; repeat the option for fallback nodes.',
        envvar='BLUEBELL_NODE',
        metavar='HOST:PORT',
    ),
]
TokenOption = Annotated[
    str,
    typer.Option(
        '--token',
        help='Token; BLUEBELL_TOKEN keeps it out of the process list.',
        envvar='BLUEBELL_TOKEN',
        show_default=False,
    ),
]


@dataclasses.dataclass(frozen=True, slots=True)
class CommonOptions:
    """Values of the common options.

    Commands that call no node accept only ``--json``.
    """

    as_json: bool = False
    nodes: tuple[str, ...] = (DEFAULT_NODE,)
    token: str = ''

    @classmethod
    def pop_from(cls, arguments: dict[str, Any]) -> 'CommonOptions':
        """Remove the values from a command's arguments and return them."""
        return cls(
            as_json=arguments.pop('as_json'),
            nodes=tuple(map(_strip_scheme, arguments.pop('nodes', ()))),
            token=arguments.pop('token', ''),
        )


def list_parameters(needs_node: bool) -> Mapping[str, inspect.Parameter]:
    """Return the options as parameters of a typer callback."""
    options: dict[str, tuple[Any, Any]] = {'as_json': (JsonOption, False)}
    if needs_node:
        options['nodes'] = (NodesOption, [DEFAULT_NODE])
        options['token'] = (TokenOption, '')
    return {
        name: inspect.Parameter(
            name,
            inspect.Parameter.KEYWORD_ONLY,
            default=default,
            annotation=annotation,
        )
        for name, (annotation, default) in options.items()
    }


def _strip_scheme(node: str) -> str:
    return node.removeprefix('http://').rstrip('/')
