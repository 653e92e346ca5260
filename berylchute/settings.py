"""Load and validate the settings file of a process."""

import ipaddress
import tomllib
from pathlib import Path
from typing import Any, TypeVar

import attrs
import msgspec

from berylchute.answerlimits import MEMORY_DEFAULT_MB
from berylchute.exceptions import SettingsError

__all__ = ["ClientSettings", "Settings", "load_client_settings", "load_settings"]


T = TypeVar("T")

CURVE_KEY_Z85_CHARACTERS = 40
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


@attrs.frozen
class HostSettings:
    """Identity of this host; `position` is empty for a locator.

    `cpu_cores`, `link_mbit_per_s` and `memory_mb` bound what one process may use.
    """

    host_id: str
    availability_zone: str
    region: str
    position: str = ""
    cpu_cores: float = 1.0
    link_mbit_per_s: float = 1000.0
    memory_mb: float = MEMORY_DEFAULT_MB


@attrs.frozen
class ListenSettings:
    """Addresses (`ip:port`) to listen on for HTTP and for peers."""

    http: str
    peers: str


@attrs.frozen
class PeersSettings:
    """Peer addresses to contact first; CURVE keys (Z85) for sockets that are not on loopback."""

    seeds: tuple[str, ...] = ()
    curve_public_key: str = ""
    curve_secret_key: str = ""
    curve_server_key: str = ""


@attrs.frozen
class StoreSettings:
    """Access to the object store; `watch_wait_ms` is how long one watch call may wait."""

    url: str
    token: str = ""
    timeout_ms: int = 1000
    watch_wait_ms: int = 20000
    calls_per_s: float = 20.0


@attrs.frozen
class TlsSettings:
    """TLS certificate and key for callers and operators; empty for plain HTTP."""

    certificate_file: str = ""
    key_file: str = ""


@attrs.frozen
class OperatorSettings:
    """SHA-256 digests (hex) of the bearer tokens of operators and of peer hosts."""

    token_sha256: tuple[str, ...] = ()


@attrs.frozen
class LimitSettings:
    """Maximum sizes of a caller's request, and the time to drain at shutdown."""

    header_bytes_max: int = 16384
    body_bytes_max: int = 67108864
    shutdown_timeout_ms: int = 70000


@attrs.frozen
class LogSettings:
    """Log level; `requests` adds one line per request."""

    level: str = "INFO"
    requests: bool = True


@attrs.frozen
class Settings:
    """All settings of one process."""

    host: HostSettings
    listen: ListenSettings
    store: StoreSettings
    peers: PeersSettings = PeersSettings()
    tls: TlsSettings = TlsSettings()
    operators: OperatorSettings = OperatorSettings()
    limits: LimitSettings = LimitSettings()
    log: LogSettings = LogSettings()


def _reject_unknown_keys(raw: Any, settings_type: Any, path: str) -> None:
    known = {field.name: field.type for field in attrs.fields(settings_type)}
    for key, value in raw.items():
        if key not in known:
            raise SettingsError(f"{path}{key}: unknown key; allowed: {', '.join(sorted(known))}")
        if attrs.has(known[key]) and isinstance(value, dict):
            _reject_unknown_keys(value, known[key], f"{path}{key}.")


@attrs.frozen
class ClientHostsSettings:
    """Base URLs of the entry hosts that the command line calls, and the operator's bearer token."""

    urls: tuple[str, ...] = ()
    token: str = ""
    timeout_ms: int = 2000
    ca_file: str = ""


@attrs.frozen
class ClientSettings:
    """All settings of the operators' command line."""

    store: StoreSettings
    hosts: ClientHostsSettings = ClientHostsSettings()
    author: str = ""


def _load(path: Path, settings_type: type[T]) -> T:
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
        _reject_unknown_keys(raw, settings_type, "")
        return msgspec.convert(raw, settings_type)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError, SettingsError) as error:
        raise SettingsError(f"{path}: {error}") from error


def _check_address(key: str, address: str) -> bool:
    """Return whether an `ip:port` is on loopback; raise SettingsError if malformed."""
    host, _, port = address.rpartition(":")
    try:
        ip = ipaddress.ip_address(host.strip("[]"))
        is_valid = 0 < int(port) < 65536
    except ValueError:
        is_valid = False
    if not is_valid:
        raise SettingsError(f"{key}: not an IP address with port: {address!r}; allowed: ip:port")
    return ip.is_loopback


def _check_url(key: str, url: str) -> None:
    scheme, separator, rest = url.partition("://")
    if scheme not in ("http", "https") or not separator or not rest.strip("/"):
        raise SettingsError(f"{key}: {url!r}; allowed: http://HOST:PORT or https://HOST:PORT")


def _check_positive(key: str, value: float) -> None:
    if value <= 0:
        raise SettingsError(f"{key}: {value} is too small; allowed: above 0")


def _check_values(settings: Settings) -> None:
    _check_address("listen.http", settings.listen.http)
    is_peers_loopback = _check_address("listen.peers", settings.listen.peers)
    for seed in settings.peers.seeds:
        _check_address("peers.seeds", seed)
    keys = (settings.peers.curve_public_key, settings.peers.curve_secret_key)
    if not is_peers_loopback and any(len(key) != CURVE_KEY_Z85_CHARACTERS for key in keys):
        raise SettingsError(
            "peers.curve_secret_key: needed with curve_public_key when listen.peers is not on "
            f"loopback; allowed: Z85 keys of {CURVE_KEY_Z85_CHARACTERS} characters"
        )
    if bool(settings.tls.certificate_file) != bool(settings.tls.key_file):
        raise SettingsError("tls.key_file: certificate_file and key_file must be set together")
    for key, value in (
        ("host.cpu_cores", settings.host.cpu_cores),
        ("host.link_mbit_per_s", settings.host.link_mbit_per_s),
        ("host.memory_mb", settings.host.memory_mb),
        ("store.timeout_ms", settings.store.timeout_ms),
        ("store.watch_wait_ms", settings.store.watch_wait_ms),
        ("store.calls_per_s", settings.store.calls_per_s),
        ("limits.header_bytes_max", settings.limits.header_bytes_max),
        ("limits.body_bytes_max", settings.limits.body_bytes_max),
        ("limits.shutdown_timeout_ms", settings.limits.shutdown_timeout_ms),
    ):
        _check_positive(key, value)
    if settings.log.level not in LOG_LEVELS:
        raise SettingsError(f"log.level: {settings.log.level!r}; allowed: {', '.join(LOG_LEVELS)}")


def load_settings(path: Path) -> Settings:
    """Return the settings of a process; raise SettingsError with file, key and reason."""
    settings = _load(path, Settings)
    try:
        _check_values(settings)
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from error
    return settings


def load_client_settings(path: Path) -> ClientSettings:
    """Return the settings of the command line; raise SettingsError with file, key and reason."""
    settings = _load(path, ClientSettings)
    try:
        _check_url("store.url", settings.store.url)
        for url in settings.hosts.urls:
            _check_url("hosts.urls", url)
        _check_positive("store.timeout_ms", settings.store.timeout_ms)
        _check_positive("store.calls_per_s", settings.store.calls_per_s)
        _check_positive("hosts.timeout_ms", settings.hosts.timeout_ms)
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from error
    return settings
