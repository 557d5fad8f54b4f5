"""Counter of resources in use."""


class UsageCounter:
    """Counts its open ``with`` blocks, plus the amounts reserved."""

    __slots__ = ('count',)

    def __init__(self) -> None:
        self.count = 0

    def __enter__(self) -> None:
        self.count += 1

    def __exit__(self, *raised: object) -> None:
        self.count -= 1

    def reserve(self, amount: int) -> '_Reservation':
        """Return a context manager that adds an amount while it is open."""
        return _Reservation(self, amount)


class _Reservation:
    """Context manager that adds an amount to a counter while open."""

    __slots__ = ('_amount', '_counter')

    def __init__(self, counter: UsageCounter, amount: int) -> None:
        self._counter = counter
        self._amount = amount

    def __enter__(self) -> None:
        self._counter.count += self._amount

    def __exit__(self, *raised: object) -> None:
        self._counter.count -= self._amount
