"""Define the load of each deployment and run load processes against a deployment."""

import time
from collections.abc import Mapping, Sequence

import attrs
import msgspec

from berylchute.config import ClientBlock, Configuration
from lab.backend import Profile
from lab.caller import CallerSpec
from lab.launcher import OPERATOR_TOKEN, Deployment
from lab.load import LoadKind, LoadResult, LoadSpec, merge_results

__all__ = ["WORKLOADS", "LoadRun", "Workload", "add_client_blocks", "caller_spec", "run_load"]

BLOCKS_PER_ZONE = 8
# A load process imports its libraries and queries the locator before its first arrival.
LOAD_START_DELAY_S = 2.0


@attrs.frozen
class Workload:
    """Services, paths and customers of one deployment; the paths match the kinds in its lists."""

    lookup_service: str
    lookup_path: str
    ledger_service: str
    ledger_paths: tuple[str, str]
    upload_service: str
    upload_path: str
    customers: tuple[str, ...]

    def lookup_kind(
        self, rate_per_s: float = 0.0, concurrency: int = 0, deadline_ms: int = 0
    ) -> LoadKind:
        """Return a kind of short idempotent calls."""
        return LoadKind(
            name="lookup",
            method="GET",
            path=self.lookup_path,
            idempotent=True,
            customers=self.customers,
            rate_per_s=rate_per_s,
            concurrency=concurrency,
            deadline_ms=deadline_ms,
        )

    def ledger_kind(self, rate_per_s: float, path_index: int = 0) -> LoadKind:
        """Return a kind of non-idempotent calls; `path_index` is an index into `ledger_paths`."""
        return LoadKind(
            name=self.ledger_paths[path_index].rstrip("/").rpartition("/")[2],
            method="POST",
            path=self.ledger_paths[path_index],
            idempotent=False,
            customers=self.customers,
            rate_per_s=rate_per_s,
            body_bytes=200,
        )

    def upload_kind(self, rate_per_s: float, body_bytes: int = 4_000_000) -> LoadKind:
        """Return a kind of long idempotent uploads with a deadline of 30 s."""
        return LoadKind(
            name="upload",
            method="PUT",
            path=self.upload_path,
            idempotent=True,
            customers=self.customers,
            rate_per_s=rate_per_s,
            body_bytes=body_bytes,
            deadline_ms=30_000,
        )

    def server_profiles(
        self, lookup_ms: float = 8.0, ledger_ms: float = 20.0, upload_ms: float = 150.0
    ) -> dict[str, Profile]:
        """Return service times of the stand-in servers by service and method."""
        return {
            f"{self.lookup_service} GET": Profile(lookup_ms),
            f"{self.ledger_service} POST": Profile(ledger_ms),
            f"{self.ledger_service} GET": Profile(ledger_ms / 2),
            f"{self.upload_service} PUT": Profile(upload_ms, ms_per_mb=10.0),
            f"{self.upload_service} GET": Profile(upload_ms),
        }


WORKLOADS: Mapping[str, Workload] = {
    "cooperativa": Workload(
        lookup_service="saldo",
        lookup_path="/saldo/accounts/",
        ledger_service="libro-anticipos",
        ledger_paths=("/libro-anticipos/disbursements/", "/libro-anticipos/repayments/"),
        upload_service="archivo-recibos",
        upload_path="/archivo-recibos/receipts/",
        customers=("agencias-campo", "basculas", "sucursales"),
    ),
    "turnback": Workload(
        lookup_service="ticketdesk",
        lookup_path="/ticketdesk/tickets/",
        ledger_service="bookbench",
        ledger_paths=("/bookbench/bookings/", "/bookbench/deposits/"),
        upload_service="swatchbox",
        upload_path="/swatchbox/photos/",
        customers=("shop-counters", "head-office", "inspectors"),
    ),
}


def add_client_blocks(lists: Configuration) -> Configuration:
    """Return the lists with several client blocks per zone, so that callers use all hosts."""
    sites = {site.availability_zone: site.name for site in lists.sites}
    blocks = tuple(
        ClientBlock(f"10.{10 + index}.{part * 16}.0/20", sites[zone.name])
        for index, zone in enumerate(lists.availability_zones)
        for part in range(BLOCKS_PER_ZONE)
    )
    return attrs.evolve(lists, client_blocks=blocks)


def caller_spec(deployment: Deployment, zones: Sequence[str] = ()) -> CallerSpec:
    """Return callers in some zones (all by default) that query the locator first."""
    zone_indexes = [
        index
        for index, zone in enumerate(deployment.lists.availability_zones)
        if not zones or zone.name in zones
    ]
    addresses = tuple(
        f"10.{10 + index}.{part * 16}.1"
        for index in zone_indexes
        for part in range(BLOCKS_PER_ZONE)
    )
    urls = tuple(deployment.host_urls.values())[:2]
    locators = (deployment.locator_url, *urls) if deployment.locator_url else urls
    return CallerSpec(locators, addresses, operator_token=OPERATOR_TOKEN)


@attrs.frozen
class LoadRun:
    """Running load processes; `start_s` is their common start on the monotonic clock."""

    deployment: Deployment
    specs: tuple[LoadSpec, ...]
    start_s: float

    def wait(self) -> LoadResult:
        """Wait until the processes have ended and return their merged results."""
        results = []
        for spec in self.specs:
            process = self.deployment.processes[spec.name]
            process.popen.wait(spec.duration_s + 120)
            # Removed only after its end, so that a hung process is still stopped with the others.
            del self.deployment.processes[spec.name]
            output = self.deployment.directory / f"{spec.name}.out"
            if not output.exists():
                raise RuntimeError(f"load process {spec.name} failed:\n{process.log_tail()}")
            results.append(msgspec.msgpack.decode(output.read_bytes(), type=LoadResult))
        return merge_results(results)


def run_load(
    deployment: Deployment,
    name: str,
    kinds: Sequence[LoadKind],
    duration_s: float,
    *,
    caller: CallerSpec | None = None,
    seed: int = 0,
    processes: int = 2,
) -> LoadRun:
    """Start load processes; the load of every kind is divided evenly among them."""
    start_s = time.monotonic() + LOAD_START_DELAY_S
    kinds_per_process = tuple(
        attrs.evolve(
            kind,
            rate_per_s=kind.rate_per_s / processes,
            concurrency=kind.concurrency // processes,
        )
        for kind in kinds
    )
    specs = []
    for number in range(processes):
        spec = LoadSpec(
            name=f"{name}-{number}",
            seed=seed,
            start_s=start_s,
            duration_s=duration_s,
            caller=caller or caller_spec(deployment),
            kinds=kinds_per_process,
        )
        path = deployment.directory / f"{spec.name}.json"
        path.write_bytes(msgspec.json.encode(spec))
        output = deployment.directory / f"{spec.name}.out"
        arguments = ["-m", "lab.load", "--spec", str(path), "--output", str(output)]
        deployment.start_process(spec.name, arguments)
        specs.append(spec)
    return LoadRun(deployment, tuple(specs), start_s)
