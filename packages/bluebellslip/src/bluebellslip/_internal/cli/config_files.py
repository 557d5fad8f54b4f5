"""Reads and checks configuration files."""

from pathlib import Path

from bluebellslip._internal.exceptions import InvalidConfigError
from bluebellslip._internal.models.config import ConfigDocument
from bluebellslip._internal.models.snapshot import check_document
from bluebellslip._internal.utils.jsonc import load_document


def load_config(path: Path) -> ConfigDocument:
    """Read a configuration and check it, including its references.

    Raises
    ------
    MalformedError
        If the file can't be read or parsed.
    TooLargeError
        If the file is too large.
    InvalidConfigError
        If the configuration is invalid; the context names the file.
    """
    document = load_document(path, ConfigDocument)
    check_config(document, str(path))
    return document


def check_config(document: ConfigDocument, source: str) -> None:
    """Check a configuration's names and references.

    Errors name ``source`` as the file of the configuration.

    Raises
    ------
    InvalidConfigError
        If a name occurs twice or a reference does not resolve. The context has
        the file, the path in the document and the value found.
    """
    try:
        check_document(document)
    except InvalidConfigError as error:
        error.context = {'file': source, **error.context}
        raise
