"""Log lines as JSON on the standard error stream."""

import logging
import sys
from typing import Final, TextIO

from pythonjsonlogger.json import JsonFormatter

from bluebellslip._internal.kernel.context import Context

_FIELDS: Final = ('levelname', 'name', 'message')
_RENAMED_FIELDS: Final = {
    'levelname': 'level',
    'name': 'logger',
    'timestamp': 'time',
}
_NOISY_LOGGERS: Final = (
    'uvicorn.error',
    'uvicorn.access',
    'httpcore',
    'grpclib',
)


class _NodeFilter(logging.Filter):
    """Adds the node's name, mesh and applied revision to every line."""

    def __init__(self, context: Context) -> None:
        super().__init__()
        self._context = context

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the fields; a line that names a revision keeps its own."""
        record.node = self._context.node
        record.mesh = self._context.settings.mesh
        if not hasattr(record, 'revision'):
            record.revision = self._context.applied.revision
        return True


def configure_logs(stream: TextIO | None = None) -> logging.Handler:
    """Write log lines of this process as JSON and return their handler.

    Some libraries log every connection and request; only their errors are
    written.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        JsonFormatter(_FIELDS, rename_fields=_RENAMED_FIELDS, timestamp=True)
    )
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
    for name in _NOISY_LOGGERS:
        logging.getLogger(name).setLevel(logging.ERROR)
    return handler


def add_node_fields(handler: logging.Handler, context: Context) -> None:
    """Add the node's fields to every line that a handler writes."""
    handler.addFilter(_NodeFilter(context))
