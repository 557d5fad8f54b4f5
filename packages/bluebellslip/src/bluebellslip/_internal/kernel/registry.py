"""Registries that are filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from bluebellslip._internal.exceptions import NotFoundError

_Entry = TypeVar('_Entry')


class Registry(Generic[_Entry]):
    """Named entries of one kind.

    Parameters
    ----------
    kind
        What the entries are, for error messages.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, _Entry] = {}

    def register(self, name: str) -> Callable[[_Entry], _Entry]:
        """Return a decorator that registers its argument under a name."""

        def decorate(entry: _Entry) -> _Entry:
            if name in self._entries:
                raise ValueError(f'{self._kind} {name} is registered twice')
            self._entries[name] = entry
            return entry

        return decorate

    def find(self, name: str) -> _Entry:
        """Return the entry registered under a name.

        Raises
        ------
        NotFoundError
            When nothing is registered under the name.
        """
        try:
            return self._entries[name]
        except KeyError:
            known = ', '.join(sorted(self._entries))
            raise NotFoundError(
                f'There is no {self._kind} of this name.',
                context={'found': name},
                hint=f'Known are: {known}',
            ) from None

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries)

    def __len__(self) -> int:
        return len(self._entries)
