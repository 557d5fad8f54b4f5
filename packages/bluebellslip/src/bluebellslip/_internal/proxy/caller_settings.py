"""Settings of the handler of callers' requests."""

import dataclasses

from bluebellslip._internal.calls.metadata_headers import MetadataHeaders
from bluebellslip._internal.models.identity import ServiceName


@dataclasses.dataclass(frozen=True, slots=True)
class CallerSettings:
    """Settings of the handler of callers' requests.

    Parameters
    ----------
    service
        Service of the local server, sent to servers as the caller.
    metadata_headers
        Names of the headers that callers and servers use.
    """

    service: ServiceName
    metadata_headers: MetadataHeaders
