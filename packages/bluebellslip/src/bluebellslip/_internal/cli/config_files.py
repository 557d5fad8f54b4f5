"""Files of configuration as commands read them."""

from pathlib import Path

from bluebellslip._internal.exceptions import InvalidConfigError
from bluebellslip._internal.models.config import ConfigDocument
from bluebellslip._internal.models.snapshot import check_document
from bluebellslip._internal.utils.jsonc import load_document


def load_config(path: Path) -> ConfigDocument:
    """Read and check a configuration, references included.

    Raises
    ------
    MalformedError
        When the file can't be read or parsed.
    InvalidConfigError
        Of the kind that fits the fault; the context names the file.
    """
    document = load_document(path, ConfigDocument)
    check_config(document, str(path))
    return document


def check_config(document: ConfigDocument, source: str) -> None:
    """Check a configuration's references; ``source`` names its file.

    Raises
    ------
    InvalidConfigError
        With the file, the path, what was found and what is allowed.
    """
    try:
        check_document(document)
    except InvalidConfigError as error:
        error.context = {'file': source, **error.context}
        raise
