"""Exit codes of the command line.

The exit codes of errors are listed by kind in ``models.error_responses``; the
constants here are for usage errors and for results that are not errors.
"""

from typing import Final

from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.models.error_responses import ERROR_RESPONSES

SUCCESS: Final = 0
DIFFERENCES_FOUND: Final = 1
USAGE_ERROR: Final = 2
MOVE_WITHDRAWN: Final = 3


def find_exit_code(error: BluebellError) -> int:
    """Return the exit code for an error."""
    return ERROR_RESPONSES[error.kind].exit_code
