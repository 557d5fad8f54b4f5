"""Exit statuses of the command line.

Errors have the status that the table in ``models.answers`` gives for their
kind; the statuses here are for outcomes that are no errors.
"""

from typing import Final

from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.models.error_responses import ERROR_RESPONSES

SUCCESS: Final = 0
DIFFERENCES_FOUND: Final = 1
USAGE_ERROR: Final = 2
MOVE_WITHDRAWN: Final = 3


def find_exit_code(error: BluebellError) -> int:
    """Return the exit status of an error."""
    return ERROR_RESPONSES[error.kind].exit_code
