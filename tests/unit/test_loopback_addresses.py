"""Addresses of test processes that run beside each other.

Guards against two processes that listen at one address: one of them then fails
with "address already in use", or reaches the other's servers.
"""

from ipaddress import ip_address

from lib.calls import make_host

_FIRST_PROCESS = 1_000
_PROCESSES = 60_000


def test_processes_have_addresses_of_their_own() -> None:
    process_ids = range(_FIRST_PROCESS, _FIRST_PROCESS + _PROCESSES)
    hosts = {make_host(process_id) for process_id in process_ids}
    assert len(hosts) == _PROCESSES


def test_addresses_are_on_the_loopback() -> None:
    assert ip_address(make_host(4_194_303)).is_loopback
