"""Runs the processes of the call benchmarks; reads their processor time."""

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
    """Return an address of the benchmarks as ``host:port``."""
    return f'{HOST}:{port}'


@contextlib.contextmanager
def running_processes(
    specs: dict[str, Spec],
) -> Generator[dict[str, int], None, None]:
    """Run processes within the context; yield their process ids by name."""
    with contextlib.ExitStack() as stack:
        started = {
            name: stack.enter_context(_ManagedProcess(spec))
            for name, spec in specs.items()
        }
        yield {name: process.pid for name, process in started.items()}


class _ManagedProcess:
    """A process that is terminated at the end of its context."""

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
    """Wait until a process listens on a port.

    Raises
    ------
    TimeoutError
        When nothing listens after 200 attempts, 50 ms apart.
    """
    for _ in range(200):
        with contextlib.suppress(OSError):
            socket.create_connection((HOST, port)).close()
            return
        time.sleep(0.05)
    raise TimeoutError(f'nothing listens on port {port}')


def read_cpu_seconds(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    text = Path(f'/proc/{pid}/schedstat').read_text(encoding='ascii')
    return int(text.split()[0]) / 1e9
