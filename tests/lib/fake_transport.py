"""A transport without a socket."""

import asyncio
import io


def deliver(protocol: asyncio.BufferedProtocol, text: bytes) -> int:
    """Let a protocol read once; return the number of bytes."""
    size = io.BytesIO(text).readinto(protocol.get_buffer(-1))
    protocol.buffer_updated(size)
    return size


class FakeTransport:
    """Records what is written, and whether input is read."""

    def __init__(self) -> None:
        self.written = b''
        self.has_written_eof = False
        self._is_paused = False
        self._is_closing = False

    def get_extra_info(self, name: str) -> None:
        """Return that there is no socket."""

    def set_write_buffer_limits(self, high: int) -> None:
        """Do nothing."""

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, text: bytes) -> None:
        self.written += text

    def write_eof(self) -> None:
        self.has_written_eof = True

    def pause_reading(self) -> None:
        self._is_paused = True

    def resume_reading(self) -> None:
        self._is_paused = False

    def is_reading(self) -> bool:
        return not (self._is_paused or self._is_closing)

    def is_closing(self) -> bool:
        return self._is_closing

    def close(self) -> None:
        self._is_closing = True

    abort = close
