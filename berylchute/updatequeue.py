"""Decide which members' records go into the next update to other members."""

__all__ = ["UpdateQueue"]

URGENT_RECORDS_MAX = 24
LOAD_RECORDS_MAX = 4
# Records sent round-robin whether or not they changed, to make up for lost messages.
ROTATED_RECORDS_MAX = 2


class UpdateQueue:
    """Changed records with the number of updates that still carry them, and a rotation of all."""

    def __init__(self) -> None:
        self._urgent_rounds: dict[str, int] = {}
        self._load_rounds: dict[str, int] = {}
        self._rotation: list[str] = []

    def add_member(self, host_id: str) -> None:
        """Add a member to the rotation."""
        self._rotation.append(host_id)

    def remove_member(self, host_id: str) -> None:
        """Remove a member from the rotation, and its changes."""
        if host_id in self._rotation:
            self._rotation.remove(host_id)
        self._urgent_rounds.pop(host_id, None)
        self._load_rounds.pop(host_id, None)

    def add_urgent(self, host_id: str, rounds: int) -> None:
        """Send a member's record in the next `rounds` updates."""
        self._urgent_rounds[host_id] = rounds

    def add_load(self, host_id: str) -> None:
        """Send a member's record, of which only load figures have changed, in one update."""
        self._load_rounds[host_id] = 1

    def pop_next(self, own_host_id: str) -> list[str]:
        """Return the members for the next update: this one, changed ones, then some of the rest."""
        selected = [own_host_id]
        for queue, count in (
            (self._urgent_rounds, URGENT_RECORDS_MAX),
            (self._load_rounds, LOAD_RECORDS_MAX),
        ):
            for host_id in list(queue)[:count]:
                selected.append(host_id)
                rounds = queue.pop(host_id) - 1
                if rounds > 0:
                    queue[host_id] = rounds
        rotated = self._rotation[:ROTATED_RECORDS_MAX]
        self._rotation = self._rotation[ROTATED_RECORDS_MAX:] + rotated
        return list(dict.fromkeys([*selected, *rotated]))
