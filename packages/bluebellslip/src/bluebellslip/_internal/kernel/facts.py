"""The store of facts, which merges them and notifies subscribers."""

from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

from bluebellslip._internal.models.facts import Fact

_SomeFact = TypeVar('_SomeFact', bound=Fact)
_Listener = Callable[[Fact], None]


class FactStore:
    """The newest known fact of every key."""

    def __init__(self) -> None:
        self._facts: dict[str, Fact] = {}
        self._listeners: list[tuple[type[Fact], _Listener]] = []

    def subscribe(
        self, kind: type[_SomeFact], listener: Callable[[_SomeFact], None]
    ) -> None:
        """Call the listener with every fact of a kind that ``merge`` stores."""
        self._listeners.append((kind, listener))  # type: ignore[arg-type]

    def find(self, key: str) -> Fact | None:
        """Return the fact of a key, or None if there is none."""
        return self._facts.get(key)

    def merge(self, facts: Iterable[Fact]) -> tuple[Fact, ...]:
        """Store and return the facts with a new key or a greater rank."""
        newer = tuple(fact for fact in facts if self._store_if_newer(fact))
        for fact in newer:
            self._notify(fact)
        return newer

    def forget(self, key: str) -> None:
        """Remove the fact of a key."""
        self._facts.pop(key, None)

    def select(self, kind: type[_SomeFact]) -> tuple[_SomeFact, ...]:
        """Return all facts of a kind."""
        return tuple(
            fact for fact in self._facts.values() if isinstance(fact, kind)
        )

    def __iter__(self) -> Iterator[Fact]:
        return iter(tuple(self._facts.values()))

    def __len__(self) -> int:
        return len(self._facts)

    def _store_if_newer(self, fact: Fact) -> bool:
        known = self._facts.get(fact.key)
        if known is not None and known.rank >= fact.rank:
            return False
        self._facts[fact.key] = fact
        return True

    def _notify(self, fact: Fact) -> None:
        for kind, listener in self._listeners:
            if isinstance(fact, kind):
                listener(fact)
