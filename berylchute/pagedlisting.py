"""Combine the pages of a list into one list as of a single revision.

Load handled: entries that change, appear and vanish while a long list is read page by page.
"""

from collections.abc import Mapping

from berylchute.collection import CollectionChanges, CollectionListing, Entry

__all__ = ["PagedListing"]


class PagedListing:
    """Collect pages in the order in which they are read, each as of its own revision.

    A change between two pages of an entry on an earlier one is in none of them. The changes since
    the first page complete the list, up to the revision of the last page or later.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._known_revision: int | None = None
        self._last_revision = 0

    def add_page(self, entries: Mapping[str, Entry], revision: int) -> None:
        """Add the next page."""
        self._entries.update(entries)
        if self._known_revision is None:
            self._known_revision = revision
        self._last_revision = revision

    @property
    def revision(self) -> int:
        """Return the revision up to which all changes are known."""
        return self._known_revision or 0

    @property
    def is_complete(self) -> bool:
        """Return whether all pages are as of the same revision."""
        return self.revision >= self._last_revision

    def add_changes(self, changes: CollectionChanges) -> None:
        """Add the changes after `revision`; without any, the list is complete."""
        for name, entry in changes.entries.items():
            if entry is None:
                self._entries.pop(name, None)
            else:
                self._entries[name] = entry
        self._known_revision = max(self.revision, changes.revision)
        if not changes.entries:
            self._last_revision = self.revision

    def make_listing(self, history: int | None) -> CollectionListing:
        """Return the list as of `revision`."""
        return CollectionListing(self._entries, self.revision, history)
