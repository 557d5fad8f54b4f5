"""Input of a connection that is kept until it can be parsed."""


class UnparsedInput:
    """What is left of the input that was read."""

    __slots__ = ('_rest', 'memory')

    def __init__(self) -> None:
        self.memory = 0
        self._rest = memoryview(b'')

    def __len__(self) -> int:
        return len(self._rest)

    def take(self, chunk: bytes | memoryview) -> memoryview:
        """Return what was kept and a chunk that follows it; keep nothing."""
        rest = self._rest
        self.clear()
        if not rest:
            return memoryview(chunk)
        return memoryview(b''.join((rest, chunk))) if chunk else rest

    def keep(self, rest: memoryview) -> None:
        """Keep input.

        It is copied unless it is most of a text that nothing else changes, so
        ``memory`` is at most twice its size.
        """
        source = rest.obj
        if not isinstance(source, bytes) or len(source) > 2 * len(rest):
            source = bytes(rest)
            self._rest = memoryview(source)
        else:
            self._rest = rest
        self.memory = len(source)

    def clear(self) -> None:
        """Drop the input."""
        self._rest = memoryview(b'')
        self.memory = 0
