"""Load and check the settings file of a process."""

import tomllib
from pathlib import Path
from typing import Any, TypeVar

import attrs
import msgspec

from berylchute.exceptions import SettingsError

__all__ = ["ClientSettings", "Settings", "load", "load_client"]


T = TypeVar("T")


@attrs.frozen
class HostSettings:
    """Identity of this host; `position` is empty for a locator."""

    host_id: str
    availability_zone: str
    region: str
    position: str = ""


@attrs.frozen
class ListenSettings:
    """Addresses `ip:port` for HTTP and for peers."""

    http: str
    peers: str


@attrs.frozen
class PeersSettings:
    """Peer addresses to ask first, and CURVE keys (Z85) for sockets that leave loopback."""

    seeds: tuple[str, ...] = ()
    curve_public_key: str = ""
    curve_secret_key: str = ""
    curve_server_key: str = ""


@attrs.frozen
class StoreSettings:
    """Object store access."""

    url: str
    token: str = ""
    timeout_ms: int = 1000
    watch_wait_ms: int = 20000
    calls_per_s: float = 20.0


@attrs.frozen
class TlsSettings:
    """Certificate and key for callers and operators; empty means plain HTTP."""

    certificate_file: str = ""
    key_file: str = ""


@attrs.frozen
class OperatorSettings:
    """SHA-256 digests (hex) of the bearer tokens of operators and of peer hosts."""

    token_sha256: tuple[str, ...] = ()


@attrs.frozen
class LimitSettings:
    """Sizes that a caller may send, and drain time at shutdown."""

    header_bytes_max: int = 16384
    body_bytes_max: int = 67108864
    shutdown_timeout_ms: int = 70000


@attrs.frozen
class LogSettings:
    """Logging level; `requests` turns on one line per request."""

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


def _check_keys(raw: Any, kind: Any, path: str) -> None:
    known = {field.name: field.type for field in attrs.fields(kind)}
    for key, value in raw.items():
        if key not in known:
            raise SettingsError(f"{path}{key}: unknown key; allowed: {', '.join(sorted(known))}")
        if attrs.has(known[key]) and isinstance(value, dict):
            _check_keys(value, known[key], f"{path}{key}.")


@attrs.frozen
class ClientHostsSettings:
    """Entry hosts that an operator's command reaches, by base URL, and the operator's token."""

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


def _load(path: Path, kind: type[T]) -> T:
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
        _check_keys(raw, kind, "")
        return msgspec.convert(raw, kind)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError, SettingsError) as error:
        raise SettingsError(f"{path}: {error}") from error


def load(path: Path) -> Settings:
    """Return a process's settings; raise SettingsError with file, key and reason."""
    return _load(path, Settings)


def load_client(path: Path) -> ClientSettings:
    """Return the command line's settings; raise SettingsError with file, key and reason."""
    return _load(path, ClientSettings)
