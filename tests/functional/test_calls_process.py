"""Test of the open files and memory mappings of a running node process.

It guards against an event loop on io_uring or uvloop instead of epoll.
"""

import contextlib
import json
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from lib.calls import HOST, find_free_address

_STARTUP_TIMEOUT_S = 60


def write_settings(path: Path) -> int:
    """Write a node's settings and return its ingress port."""
    addresses = {
        name: find_free_address()
        for name in ('egress', 'ingress', 'peer', 'admin')
    }
    platform = f'http://{find_free_address()}'
    path.write_text(
        json.dumps({
            'node': 'n1',
            'mesh': 'mesh',
            'region': 'north',
            'failure_domain': 'a',
            'listen': {name: str(text) for name, text in addresses.items()},
            'platform': {'table': platform, 'objects': platform},
            'peer_key': '0123456789abcdef',
        }),
        encoding='utf-8',
    )
    return addresses['ingress'].port


def wait_until_listening(port: int) -> None:
    end = time.monotonic() + _STARTUP_TIMEOUT_S
    while time.monotonic() < end:
        with contextlib.suppress(OSError):
            socket.create_connection((HOST, port)).close()
            return
        time.sleep(0.05)
    pytest.fail('the node does not accept connections')


def list_open_files(process: Path) -> list[str]:
    """Return what the descriptors of a process refer to.

    A descriptor that is closed between the listing and the reading of its link
    is left out.
    """
    opened = []
    for entry in process.joinpath('fd').iterdir():
        with contextlib.suppress(FileNotFoundError):
            opened.append(str(entry.readlink()))
    return opened


def inspect_process(pid: int, port: int) -> tuple[list[str], str]:
    """Return a process's open files and memory mappings, once it listens."""
    wait_until_listening(port)
    process = Path(f'/proc/{pid}')
    opened = list_open_files(process)
    return opened, process.joinpath('maps').read_text(encoding='utf-8')


def test_running_node_uses_no_io_uring(tmp_path: Path) -> None:
    settings = tmp_path / 'node.jsonc'
    port = write_settings(settings)
    node = subprocess.Popen([
        sys.executable,
        '-m',
        'bluebellslip_node',
        str(settings),
    ])
    try:
        opened, maps = inspect_process(node.pid, port)
    finally:
        node.terminate()
        status = node.wait()
    # A process loses its mappings before its descriptors when it exits, so none
    # was left out because the node had exited.
    assert maps
    assert 'anon_inode:[eventpoll]' in opened
    io_uring_uses = [name for name in opened if 'io_uring' in name]
    io_uring_uses.extend(
        name for name in ('io_uring', 'uvloop') if name in maps
    )
    assert not io_uring_uses
    assert status == 0
