"""Addresses in settings, rows and beacons.

Guards against names that no resolver takes and ports out of range, which end
the task that uses them.
"""

import pytest

from bluebellslip._internal.exceptions import MalformedError
from bluebellslip._internal.models.identity import Address


@pytest.mark.parametrize(
    'text',
    [
        '',
        ':80',
        'host',
        'host:',
        'host:99999',
        'host:-1',
        'host:8 0',
        f'host:{"9" * 5000}',
        'host:\u0661',
        f'{"x" * 300}:80',
        f'{"x" * 64}.example:80',
        'a..b:80',
        'a\0b:80',
        'a b:80',
        'h\u00f6st:80',
    ],
)
def test_address_that_cannot_be_used_is_refused(text: str) -> None:
    with pytest.raises(MalformedError):
        Address.from_text(text)


@pytest.mark.parametrize(
    ('text', 'host'),
    [
        ('10.0.0.1:7620', '10.0.0.1'),
        ('node-1.mesh_a.example:80', 'node-1.mesh_a.example'),
        ('[::1]:65535', '::1'),
        ('localhost:1', 'localhost'),
    ],
)
def test_usual_address_is_read(text: str, host: str) -> None:
    assert Address.from_text(text).host == host
