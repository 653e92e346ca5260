"""Remember the hosts of the fleet in the platform's store."""

from berylchute.fleetrecord.keeper import FleetRecordKeeper, RecordStore, StoredRecord
from berylchute.fleetrecord.record import FleetRecord, RecordedHost

__all__ = ["FleetRecord", "FleetRecordKeeper", "RecordStore", "RecordedHost", "StoredRecord"]
