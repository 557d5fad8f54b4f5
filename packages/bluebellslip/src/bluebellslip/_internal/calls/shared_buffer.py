"""The buffer that all connections of the process read into.

Input is parsed before the next read, and what is kept of it is copied. So no
read allocates memory of its own, which would leave gaps of many sizes.
"""

from typing import Final

# As much as asyncio reads at a time.
MAX_READ_BYTES: Final = 256 * 1024
_buffer = memoryview(bytearray(MAX_READ_BYTES))


def get_buffer(size: int) -> memoryview:
    """Return a part of the buffer, valid until the next read."""
    return _buffer[:size]
