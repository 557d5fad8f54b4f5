"""Exit statuses of the command line.

Errors have the status that the table in ``models.answers`` gives for their
kind; the statuses here are for outcomes that are no errors.
"""

from typing import Final

from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.models.error_responses import ERROR_RESPONSES

SUCCESS: Final = 0
DIFFERENT: Final = 1
USAGE: Final = 2
WITHDRAWN: Final = 3


def find_status(error: BluebellError) -> int:
    """Return the exit status of an error."""
    return ERROR_RESPONSES[error.kind].exit_code
