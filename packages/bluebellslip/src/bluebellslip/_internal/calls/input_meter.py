"""Limits on the input of a parser that is neither headers nor a body.

httptools reports a header once it is complete, and padding, chunk extensions
and blank lines not at all. What it takes without reporting anything is counted
here.
"""

from typing import Final

MAX_HEADERS: Final = 128
# What separates the names and values of a proper head: ": " and the end of
# each line, and the rest of the first line.
_SEPARATOR_BYTES: Final = 4 * MAX_HEADERS + 32
# Two bytes objects and a tuple for each header.
_HEADER_OVERHEAD: Final = 140
_HEAD_SLICE_BYTES: Final = 1024
_BODY_SLICE_BYTES: Final = 16 * 1024


class InputMeter:
    """Counts the bytes of one connection that brought no progress.

    Progress is a complete head, part of a body or the end of a message. The
    input is parsed in slices that begin at places which depend on the input
    alone, and only whole slices count. So the verdict is the same however the
    network cuts the input.
    """

    __slots__ = ('_has_progress', '_idle_bytes', '_room', '_slice_size')

    def __init__(self) -> None:
        self._slice_size = _HEAD_SLICE_BYTES
        self._room = self._slice_size
        self._idle_bytes = 0
        self._has_progress = False

    @property
    def room(self) -> int:
        """Bytes that are left of the current slice."""
        return self._room

    def record_progress(self) -> None:
        """Record that the current slice brought progress."""
        self._has_progress = True

    def advance(self, size: int, *, in_body: bool) -> None:
        """Count parsed bytes, at most as many as there was room for.

        Parameters
        ----------
        size
            Number of bytes.
        in_body
            Whether the next bytes belong to a body.
        """
        self._room -= size
        if self._room:
            return
        if self._has_progress:
            self._idle_bytes = 0
        else:
            self._idle_bytes += self._slice_size
        self._has_progress = False
        self._slice_size = _BODY_SLICE_BYTES if in_body else _HEAD_SLICE_BYTES
        self._room = self._slice_size

    def exceeds(self, limit: int) -> bool:
        """Whether more bytes brought no progress than a head may have.

        Parameters
        ----------
        limit
            Maximum size of the names and values of a head, in bytes.
        """
        return self._idle_bytes > limit + _SEPARATOR_BYTES


class HeaderCounter:
    """Size and number of the headers, or the trailers, of one message."""

    __slots__ = ('_count', '_size')

    def __init__(self) -> None:
        self._size = 0
        self._count = 0

    @property
    def size(self) -> int:
        """Number of bytes of all names and values."""
        return self._size

    @property
    def memory(self) -> int:
        """Approximate bytes of memory that the headers take."""
        return self._size + self._count * _HEADER_OVERHEAD

    def clear(self) -> None:
        """Start the next message, or the trailers of a body."""
        self._size = 0
        self._count = 0

    def add(self, size: int) -> None:
        """Count bytes that don't belong to a header, as of a target."""
        self._size += size

    def add_header(self, name: bytes, value: bytes) -> None:
        """Count a header."""
        self._count += 1
        self._size += len(name) + len(value)

    def exceeds(self, limit: int) -> bool:
        """Whether there are more bytes than a limit, or too many headers."""
        return self._size > limit or self._count > MAX_HEADERS


def describe_limit(limit: int) -> dict[str, str]:
    """Return the limit of a head or of trailers, as an error's context."""
    return {'limit': f'{limit} bytes, {MAX_HEADERS} headers'}
