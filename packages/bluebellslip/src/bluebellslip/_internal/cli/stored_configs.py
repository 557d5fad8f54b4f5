"""Checks configurations in the format in which a platform stores them.

The format is a platform adapter's own; an installed adapter registers the
decoder that its nodes use as an entry point.
"""

from collections.abc import Callable
from importlib.metadata import entry_points
from typing import Final

from bluebellslip._internal.exceptions import (
    InvalidConfigError,
    MalformedError,
)
from bluebellslip._internal.models.mesh import ConfigRecord, MeshConfig

FORMATS_GROUP: Final = 'bluebellslip.config_formats'
_FILE: Final = 'file'


def check_stored_config(body: bytes, source: str) -> MeshConfig:
    """Return a configuration that nodes would apply as it is written.

    Parameters
    ----------
    body
        The configuration as it would be stored.
    source
        The file it comes from, for errors.

    Raises
    ------
    MalformedError
        When no platform adapter is installed.
    InvalidConfigError
        When an entry can't be used, or is used in part only.
    PlatformGarbledError
        When the nodes would skip the whole configuration.
    """
    record = _load_decoder(source)(body)
    if record.problems:
        raise InvalidConfigError(
            'Entries of the configuration cannot be used as they are.',
            context={_FILE: source}
            | dict(problem.split(': ', 1) for problem in record.problems),
            hint='Correct them before it is written; nodes leave them out.',
        )
    return record.config


def _load_decoder(source: str) -> Callable[[bytes], ConfigRecord]:
    for entry_point in entry_points(group=FORMATS_GROUP):
        decode: Callable[[bytes], ConfigRecord] = entry_point.load()
        return decode
    raise MalformedError(
        'No platform adapter is installed that knows this format.',
        context={_FILE: source},
        hint='Install bluebellslip-platform beside the command line.',
    )
