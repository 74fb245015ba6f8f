"""Base of endpoint sources that read their whole list anew wherever they start. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from millgw.interface import Settings
from millgw.platform.discovery import ListedEndpoint
from millgw.platform.list_state import ListState


class UnsharedSource:
    """Hands no list over and takes none over, in a reload or an upgrade (see `EndpointSource`)."""

    def continue_from(
        self, predecessor: object, listed: Callable[[], tuple[ListedEndpoint, ...]]
    ) -> bool | None:
        """Takes no list of another source of this process."""
        return None

    def list_state(self) -> ListState | None:
        """Nothing for the next process."""
        return None

    def continues(self, state: ListState) -> bool:
        """Whether it goes on with the list of the process before: no."""
        return False

    def adopt_state(
        self, state: ListState, entries: tuple[ListedEndpoint, ...], zones: tuple[str, ...]
    ) -> None:
        """Not called, as it continues no list."""

    def reconfigure(self, settings: Settings) -> None:
        """Does nothing: the settings say nothing of such a source."""
