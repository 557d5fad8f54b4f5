"""A count of what is going on."""


class Tally:
    """Counts the contexts that are open."""

    __slots__ = ('count',)

    def __init__(self) -> None:
        self.count = 0

    def __enter__(self) -> None:
        self.count += 1

    def __exit__(self, *raised: object) -> None:
        self.count -= 1
