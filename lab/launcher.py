"""Start and stop the processes of a deployment, and of its stand-ins, on loopback."""

import hashlib
import signal
import subprocess
import sys
import tempfile
from collections.abc import Mapping, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

import attrs
import httpcore
import msgspec
import tomli_w

from berylchute.config import Configuration, HostPosition, decode_toml, encode_json
from lab.backend import DelayModel, Profile, ServerSpec
from lab.processes import Process, free_ports, send_json, send_request, wait_until
from lab.server_standin import ProcessSpec

__all__ = [
    "OPERATOR_TOKEN",
    "Deployment",
    "customer_token",
    "read_example_lists",
]

ROOT = Path(__file__).parent.parent
OPERATOR_TOKEN = "lab-operator"
START_TIMEOUT_S = 40.0
STOP_TIMEOUT_S = 10.0


def customer_token(customer: str) -> str:
    """Return the bearer token that the lab assigns to a customer."""
    return f"lab-{customer}"


def read_example_lists(deployment: str) -> Configuration:
    """Return a deployment's example lists with the lab's token for each customer."""
    text = (ROOT / "examples" / deployment / "lists.toml").read_text("utf-8")
    lists = decode_toml(text)
    customers = tuple(
        attrs.evolve(item, token_sha256=(_token_sha256(customer_token(item.name)),))
        for item in lists.customers
    )
    return attrs.evolve(lists, customers=customers, edit_id="lab-1", generation=1)


def _token_sha256(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


class Deployment:
    """Processes of one deployment; a context manager that stops every process it started."""

    def __init__(
        self,
        lists: Configuration,
        profiles: Mapping[str, Profile],
        *,
        has_network_delays: bool = True,
        seed: int = 0,
        log_level: str = "WARNING",
    ) -> None:
        ports = iter(free_ports(len(lists.backend_servers)))
        servers = tuple(
            attrs.evolve(item, address=f"127.0.0.1:{next(ports)}") for item in lists.backend_servers
        )
        self.lists = attrs.evolve(lists, backend_servers=servers)
        self.processes: dict[str, Process] = {}
        self.host_urls: dict[str, str] = {}
        self.control_urls: dict[str, str] = {}
        self.store_url = ""
        self.locator_url = ""
        self._temporary_directory = tempfile.TemporaryDirectory(prefix="berylchute-lab-")
        self.directory = Path(self._temporary_directory.name)
        self._profiles = profiles
        self._has_network_delays = has_network_delays
        self._seed = seed
        self._log_level = log_level
        self._peer_seeds: list[str] = []
        self._platform_host_states: dict[str, str] = {}
        self._start_counts: dict[str, int] = {}

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start_process(self, name: str, arguments: Sequence[str]) -> Process:
        """Start `python ARGUMENTS`; its output goes to NAME.log in the temporary directory."""
        log_file = self.directory / f"{name}.log"
        with log_file.open("ab") as output:
            popen = subprocess.Popen(
                [sys.executable, *arguments], cwd=ROOT, stdout=output, stderr=output
            )
        process = Process(name, popen, log_file)
        self.processes[name] = process
        return process

    def start_store(self) -> None:
        """Start the store stand-in and write the lists as its `config` object.

        Raise RuntimeError if the store does not start or rejects the lists.
        """
        port = free_ports(1)[0]
        self.store_url = f"http://127.0.0.1:{port}"
        self.start_process("store", ["-m", "lab.store_standin", "--port", str(port)])
        self.wait_for_http("store", f"{self.store_url}/control")
        response = send_request(
            "PUT",
            f"{self.store_url}/objects/config",
            encode_json(self.lists),
            {"If-None-Match": "*"},
        )
        if response.status != 200:
            raise RuntimeError(
                f"store stand-in rejected the lists with HTTP status {response.status}"
            )

    def start_servers(self) -> None:
        """Start one process of stand-in backend servers per region and wait until it responds."""
        for region in self.lists.regions:
            name = f"servers-{region.name}"
            spec = ProcessSpec(
                free_ports(1)[0], self._delay_model(), self._server_specs(region.name)
            )
            spec_file = self.directory / f"{name}.json"
            spec_file.write_bytes(msgspec.json.encode(spec))
            self.control_urls[region.name] = f"http://127.0.0.1:{spec.control_port}"
            self.start_process(name, ["-m", "lab.server_standin", "--spec", str(spec_file)])
        for region_name, url in self.control_urls.items():
            self.wait_for_http(f"servers-{region_name}", f"{url}/stats")

    def _server_specs(self, region: str) -> tuple[ServerSpec, ...]:
        return tuple(
            ServerSpec(
                name=item.name,
                service=item.service,
                availability_zone=item.availability_zone,
                region=region,
                port=int(item.address.rpartition(":")[2]),
                slots=item.slots,
            )
            for item in self.lists.backend_servers
            if self.lists.region_of(item.availability_zone) == region
        )

    def _delay_model(self) -> DelayModel:
        region_one_way_ms = {
            "|".join(sorted((item.from_region, item.to_region))): item.one_way_ms
            for item in self.lists.distances
        }
        return DelayModel(
            zone_of_position={p.name: p.availability_zone for p in self.lists.host_positions},
            region_of_zone={z.name: z.region for z in self.lists.availability_zones},
            zone_one_way_ms=(
                self.lists.availability_zone_one_way_ms if self._has_network_delays else 0.0
            ),
            region_one_way_ms=region_one_way_ms if self._has_network_delays else {},
            profiles=self._profiles,
            seed=self._seed,
        )

    def start_hosts(
        self, positions: Sequence[str] | None = None, wait_until_ready: bool = True
    ) -> None:
        """Start entry hosts at positions (default: all).

        With `wait_until_ready`, wait for them to be ready.
        """
        selected = [
            item
            for item in self.lists.host_positions
            if positions is None or item.name in positions
        ]
        for item in selected:
            self._start_host(item)
        if wait_until_ready:
            for item in selected:
                self.wait_for_http(item.name, f"{self.host_urls[item.name]}/readyz")

    def _start_host(self, position: HostPosition) -> None:
        run_number = self._start_counts.get(position.name, 0)
        self._start_counts[position.name] = run_number + 1
        host_id = f"i-{position.name}-{run_number}"
        http_port, peer_port = free_ports(2)
        self.host_urls[position.name] = f"http://127.0.0.1:{http_port}"
        settings = self._settings(
            host_id, position.name, position.availability_zone, http_port, peer_port
        )
        self._peer_seeds.append(f"127.0.0.1:{peer_port}")
        self._start_with_settings(position.name, "berylchute.entry", host_id, settings)

    def start_locator(self) -> None:
        """Start one locator process in the first zone and wait until it is ready."""
        http_port, peer_port = free_ports(2)
        self.locator_url = f"http://127.0.0.1:{http_port}"
        zone = self.lists.availability_zones[0].name
        settings = self._settings("i-locator-0", "", zone, http_port, peer_port)
        self._start_with_settings("locator", "berylchute.locatord", "i-locator-0", settings)
        self.wait_for_http("locator", f"{self.locator_url}/readyz")

    def _start_with_settings(
        self, name: str, module: str, host_id: str, settings: dict[str, Any]
    ) -> None:
        self.set_platform_host_state(host_id, "live")
        settings_file = self.directory / f"{host_id}.toml"
        settings_file.write_text(tomli_w.dumps(settings), "utf-8")
        self.start_process(name, ["-m", module, "--settings", str(settings_file)])

    def _settings(
        self, host_id: str, position: str, zone: str, http_port: int, peer_port: int
    ) -> dict[str, Any]:
        region = self.lists.region_of(zone)
        return {
            "host": {
                "host_id": host_id,
                "position": position,
                "availability_zone": zone,
                "region": region,
            },
            "listen": {"http": f"127.0.0.1:{http_port}", "peers": f"127.0.0.1:{peer_port}"},
            "store": {"url": self.store_url},
            "peers": {"seeds": self._peer_seeds[-4:]},
            "operators": {"token_sha256": [_token_sha256(OPERATOR_TOKEN)]},
            "log": {"level": self._log_level, "requests": False},
        }

    def set_platform_host_state(self, host_id: str, state: str) -> None:
        """Set the state of a host in the platform's host list, adding the host if it is new."""
        self._platform_host_states[host_id] = state
        send_json("POST", f"{self.store_url}/control/hosts", self._platform_host_states)

    def host_id(self, position: str) -> str:
        """Return the id of the newest host at a position."""
        return f"i-{position}-{self._start_counts[position] - 1}"

    def set_store_faults(self, **faults: float | bool) -> None:
        """Set faults of the store stand-in by field of `Faults`; others stay as they are."""
        send_json("POST", f"{self.store_url}/control", faults)

    def set_server_behaviour(
        self, servers: Sequence[str] | None, **behaviour: float | bool
    ) -> None:
        """Set fields of `Behaviour` on the named stand-in servers (None: all)."""
        for url in self.control_urls.values():
            send_json("POST", f"{url}/control", {"servers": servers, "set": behaviour})

    def reset_servers(self) -> None:
        """Clear the counts, runs and link bytes of all stand-in servers."""
        for url in self.control_urls.values():
            send_json("POST", f"{url}/reset")

    def server_stats(self) -> list[dict[str, Any]]:
        """Return one row of counts since the last reset per stand-in server."""
        rows: list[dict[str, Any]] = []
        for url in self.control_urls.values():
            rows += send_json("GET", f"{url}/stats")["servers"]
        return rows

    def region_peaks(self) -> dict[str, int]:
        """Return the peak concurrency per region since the last reset."""
        peaks: dict[str, int] = {}
        for url in self.control_urls.values():
            peaks |= send_json("GET", f"{url}/stats")["region_peaks"]
        return peaks

    def run_counts(self) -> dict[str, int]:
        """Return how often each call was run since the last reset."""
        total: dict[str, int] = {}
        for url in self.control_urls.values():
            for name, count in send_json("GET", f"{url}/runs").items():
                total[name] = total.get(name, 0) + count
        return total

    def region_link_rows(self) -> list[list[Any]]:
        """Return rows (second on the monotonic clock, from region, to region, bytes)."""
        rows: list[list[Any]] = []
        for url in self.control_urls.values():
            rows += send_json("GET", f"{url}/links")
        return rows

    def wait_for_http(self, name: str, url: str, status: int = 200) -> None:
        """Wait until a process responds with a status.

        Raise RuntimeError with the end of its log if it exits or does not respond in time.
        """
        process = self.processes[name]

        def is_responding() -> bool:
            if process.popen.poll() is not None:
                raise RuntimeError(
                    f"{name} exited with code {process.popen.returncode}:\n{process.log_tail()}"
                )
            with suppress(httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
                return send_request("GET", url, timeout_s=1.0).status == status
            return False

        try:
            wait_until(is_responding, START_TIMEOUT_S, f"{name} does not respond at {url}")
        except TimeoutError as error:
            raise RuntimeError(f"{error}:\n{process.log_tail()}") from error

    def kill_process(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its exit."""
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].popen.wait(STOP_TIMEOUT_S)

    def pause_process(self, name: str) -> None:
        """Suspend a process with SIGSTOP until `resume_process`."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume_process(self, name: str) -> None:
        """Continue a paused process with SIGCONT."""
        self.processes[name].send_signal(signal.SIGCONT)

    def terminate_process(self, name: str) -> None:
        """Send SIGTERM for a graceful shutdown, without waiting for the exit."""
        self.processes[name].send_signal(signal.SIGTERM)

    def wait_until_converged(self, timeout_s: float = 15.0) -> None:
        """Wait until every started host lists all started hosts as live and ready."""
        wait_until(
            self._is_converged, timeout_s, "entry hosts do not list each other as live and ready"
        )

    def _is_converged(self) -> bool:
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        expected_positions = set(self.host_urls)
        for url in self.host_urls.values():
            response = send_request("GET", f"{url}/berylchute/v1/members", headers=headers)
            rows = msgspec.json.decode(response.content)
            ready_positions = {
                row["record"]["position"]
                for row in rows
                if row["state"] == "live" and row["record"]["ready"]
            }
            if not expected_positions <= ready_positions:
                return False
        return True

    def push_object(self, position: str, key: str, version: int, value: bytes) -> None:
        """Send an object that the store has accepted to an entry host, as `berylchutectl` does."""
        headers = {
            "Authorization": f"Bearer {OPERATOR_TOKEN}",
            "Berylchute-Version": str(version),
        }
        send_request(
            "PUT", f"{self.host_urls[position]}/berylchute/v1/objects/{key}", value, headers
        )

    def stop(self) -> None:
        """Stop every process and remove the temporary directory."""
        hosts = [p for name, p in self.processes.items() if name in self.host_urls]
        # A graceful stop can last until the deadline of a request in flight, so hosts are killed.
        for process in hosts:
            process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                process.popen.wait(3)
            except subprocess.TimeoutExpired:
                process.send_signal(signal.SIGKILL)
                process.popen.wait(STOP_TIMEOUT_S)
        self._temporary_directory.cleanup()
