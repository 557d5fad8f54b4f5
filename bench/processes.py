"""Processes of the call benchmarks: start, end, and their time."""

import contextlib
import socket
import subprocess
import sys
import time
from collections.abc import Generator
from pathlib import Path
from typing import Final

import msgspec

from bench.mesh import Spec

HOST: Final = '127.0.0.42'


def make_address(port: int) -> str:
    """Return an address of the benchmark as text."""
    return f'{HOST}:{port}'


@contextlib.contextmanager
def running_processes(
    specs: dict[str, Spec],
) -> Generator[dict[str, int], None, None]:
    """Run processes and yield their ids by name."""
    with contextlib.ExitStack() as stack:
        started = {
            name: stack.enter_context(_ManagedProcess(spec))
            for name, spec in specs.items()
        }
        yield {name: process.pid for name, process in started.items()}


class _ManagedProcess:
    """A process that ends with its context."""

    def __init__(self, spec: Spec) -> None:
        self._spec = spec

    def __enter__(self) -> 'subprocess.Popen[bytes]':
        text = msgspec.json.encode(self._spec).decode()
        command = [sys.executable, '-m', 'bench.mesh', text]
        self._process = subprocess.Popen(command)
        return self._process

    def __exit__(self, *exc_info: object) -> None:
        self._process.terminate()
        self._process.wait()


def wait_listening(port: int) -> None:
    """Return when something listens at a port."""
    for _ in range(200):
        with contextlib.suppress(OSError):
            socket.create_connection((HOST, port)).close()
            return
        time.sleep(0.05)
    raise TimeoutError(f'nothing listens at {port}')


def read_cpu_seconds(pid: int) -> float:
    """Return the seconds that a process ran."""
    text = Path(f'/proc/{pid}/schedstat').read_text(encoding='ascii')
    return int(text.split()[0]) / 1e9
