"""Child processes of an experiment, all stopped when it ends."""

import datetime as dt
import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from types import TracebackType
from typing import Final, Self

_TERMINATE_TIMEOUT: Final = dt.timedelta(seconds=12)
_CLEANUP_TIMEOUT: Final = dt.timedelta(seconds=2)


class ChildProcesses:
    """Context manager that starts named processes and ends them on exit.

    Only processes started here are signalled, each by its own id.

    Parameters
    ----------
    directory
        Directory of the log files, ``NAME.log`` for each process.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        self._exit_statuses: dict[str, int] = {}

    @property
    def exit_statuses(self) -> dict[str, int]:
        """Exit statuses of the processes stopped by ``terminate``."""
        return dict(self._exit_statuses)

    def start(self, name: str, module: str, *arguments: str) -> int:
        """Run a Python module as a process and return its id."""
        with self._log_path(name).open('ab') as log:
            process = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self._running[name] = process
        return process.pid

    def is_running(self, name: str) -> bool:
        """Return whether a process is running."""
        process = self._running.get(name)
        return process is not None and process.poll() is None

    def get_pid(self, name: str) -> int:
        """Return the process id."""
        return self._running[name].pid

    def kill(self, name: str) -> None:
        """End a process by SIGKILL."""
        process = self._running.pop(name)
        process.kill()
        process.wait()

    def freeze(self, name: str) -> None:
        """Suspend a process by SIGSTOP until it is thawed."""
        os.kill(self._running[name].pid, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a frozen process by SIGCONT."""
        os.kill(self._running[name].pid, signal.SIGCONT)

    def terminate(self, names: Sequence[str]) -> None:
        """Send SIGTERM to processes and wait until they have ended.

        Processes still running after the timeout are killed.
        """
        terminated = {name: self._running.pop(name) for name in names}
        for process in terminated.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for name, stopping in terminated.items():
            self._exit_statuses[name] = _wait_or_kill(
                stopping, _TERMINATE_TIMEOUT
            )

    def list_names(self, prefix: str = '') -> tuple[str, ...]:
        """Return names of processes not passed to ``kill`` or ``terminate``."""
        return tuple(name for name in self._running if name.startswith(prefix))

    def read_log(self, name: str) -> str:
        """Return the output of a process."""
        return self._log_path(name).read_text(errors='replace')

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for process in self._running.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for stopping in self._running.values():
            _wait_or_kill(stopping, _CLEANUP_TIMEOUT)
        self._running.clear()

    def _log_path(self, name: str) -> Path:
        return self._directory / f'{name}.log'


def _wait_or_kill(
    process: subprocess.Popen[bytes], timeout: dt.timedelta
) -> int:
    try:
        return process.wait(timeout.total_seconds())
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()
