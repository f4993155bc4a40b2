"""Settings file of the platform."""

import dataclasses
import ipaddress
import math
import os
import pathlib
import re
import tomllib
from typing import Any, Final

from sassafraswood import exceptions
from sassafraswood.models import ids

# Memory of the smallest VMs in megabytes.
DEFAULT_MEMORY_MB: Final = 200
PATH_VARIABLE: Final = 'SASSAFRASWOOD_SETTINGS'
_PORT: Final = re.compile('[0-9]{1,5}')


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """Bounds that the operator holds the fleet to.

    Attributes:
        revoke_s: A withdrawn key stops working within this time.
        applies_revocation_everywhere: Whether that holds for daemons that
            cannot reach the store too.
        apply_s: New rules are in force within this time.
        grace_s: Time from the signal to end until the process is killed.
        retry_ratio: Repeated arrivals relative to requests.
        retry_slack: Repeated arrivals of all daemons beyond the ratio.
        retry_window_s: Time in which both are counted.
        quota_tolerance: Share of rate and burst that may come on top.
        quota_slack: Requests beyond rate and burst that a window may hold.
    """

    revoke_s: float = 5.0
    applies_revocation_everywhere: bool = True
    apply_s: float = 2.0
    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_slack: float = 48.0
    retry_window_s: float = 10.0
    quota_tolerance: float = 0.1
    quota_slack: float = 20.0

    @property
    def key_age_s(self) -> float:
        """Return the age of the rules up to which keys are accepted."""
        if self.applies_revocation_everywhere:
            return self.revoke_s
        return math.inf


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformSettings:
    """Settings of one process.

    Attributes:
        caller_address: Where callers and the own upstream send requests.
        peer_address: Where messages of other daemons are taken.
        advertised_address: Where other daemons send them; differs where
            something stands between.
        ready_address: Where the platform asks whether the daemon is ready.
        report_address: Where the own upstream reports its state.
        store_address: The platform's store.
        upstream_address: The own upstream.
        memory_bytes: Memory after which the process is ended.
        is_first_start: Whether the whole fleet starts for the first time.
    """

    daemon_id: ids.DaemonId
    failure_domain: ids.FailureDomain
    service: ids.ServiceName
    caller_address: tuple[str, int]
    peer_address: tuple[str, int]
    advertised_address: tuple[str, int]
    ready_address: tuple[str, int]
    report_address: tuple[str, int]
    upstream_address: tuple[str, int]
    store_address: tuple[str, int]
    memory_bytes: int
    is_first_start: bool
    report_interval_s: float
    bounds: Bounds


# Names of the bounds on the platform.
_BOUND_NAMES: Final = {
    'revoke-s': 'revoke_s',
    'strict-revoke': 'applies_revocation_everywhere',
    'config-apply-s': 'apply_s',
    'grace-s': 'grace_s',
    'retry-budget-ratio': 'retry_ratio',
    'retry-budget-slack': 'retry_slack',
    'budget-window-s': 'retry_window_s',
    'quota-tolerance': 'quota_tolerance',
    'quota-slack': 'quota_slack',
}


class _Reader:
    """Takes values out of a table and collects what is wrong with them."""

    def __init__(self, table: dict[str, Any]) -> None:
        self._table = table
        self.problems: list[exceptions.Problem] = []

    def _find(self, path: str) -> Any:
        value: Any = self._table
        for name in path.split('.'):
            value = value.get(name) if isinstance(value, dict) else None
        return value

    def _reject(self, path: str, value: Any, allowed: str) -> None:
        found = 'nothing' if value is None else repr(value)
        self.problems.append(exceptions.Problem(path, found, allowed))

    def text(self, path: str) -> str:
        """Return a text that is not empty."""
        value = self._find(path)
        if isinstance(value, str) and value:
            return value
        self._reject(path, value, 'a text')
        return ''

    def number(self, path: str, default: float) -> float:
        """Return a number above 0, or the default if there is none."""
        value = self._find(path)
        if value is None:
            return default
        if (
            isinstance(value, int | float)
            and not isinstance(value, bool)
            and value > 0
        ):
            return float(value)
        self._reject(path, value, 'a number above 0')
        return default

    def flag(self, path: str) -> bool:
        """Return true or false; false if there is no value."""
        value = self._find(path)
        if value is None or isinstance(value, bool):
            return bool(value)
        self._reject(path, value, 'true or false')
        return False

    def address(self, path: str, default: str = '') -> tuple[str, int]:
        """Return an IP address and port, there or at the default path."""
        if default and self._find(path) is None:
            path = default
        value = self._find(path)
        if isinstance(value, str):
            address = parse_address(value)
            if address is not None:
                return address
        self._reject(path, value, 'an IP address and port')
        return '', 0

    def bounds(self, path: str) -> Bounds:
        """Return the bounds; those without a value keep their default."""
        rows = self._find(path)
        if isinstance(rows, str):
            rows = rows.split(',')
        if not isinstance(rows, list):
            self._reject(path, rows, 'a list of texts name=value')
            return Bounds()
        values: dict[str, Any] = {}
        for row in rows:
            name, _, text = str(row).partition('=')
            field = _BOUND_NAMES.get(name.strip())
            if field is None:
                continue
            value = _parse_bound(text.strip())
            if value is None:
                self._reject(f'{path}.{name}', text, 'a number or true, false')
                continue
            values[field] = value
        return Bounds(**values)


def parse_address(text: str) -> tuple[str, int] | None:
    """Return the IP address and port of a text, if it holds them."""
    host, _, port = text.rpartition(':')
    if not _PORT.fullmatch(port) or not 0 < int(port) < 65536:
        return None
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return None
    return host, int(port)


def _parse_bound(text: str) -> float | bool | None:
    if text in ('true', 'false'):
        return text == 'true'
    try:
        return float(text)
    except ValueError:
        return None


def parse(text: str) -> PlatformSettings:
    """Return the settings of a file's text.

    Raises:
        SettingsError: With all problems found.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise exceptions.SettingsError(
            [exceptions.Problem('settings', str(error), 'TOML')]
        ) from error
    reader = _Reader(table)
    settings = PlatformSettings(
        daemon_id=ids.DaemonId(reader.text('node')),
        failure_domain=ids.FailureDomain(reader.text('zone')),
        service=ids.ServiceName(reader.text('service')),
        caller_address=reader.address('listen.outbound'),
        peer_address=reader.address('listen.inbound'),
        advertised_address=reader.address(
            'listen.advertised', 'listen.inbound'
        ),
        ready_address=reader.address('listen.ready'),
        report_address=reader.address('listen.control'),
        upstream_address=reader.address('app-addr'),
        store_address=reader.address('platform.address'),
        memory_bytes=int(
            reader.number('limits.memory-mb', DEFAULT_MEMORY_MB) * 1024 * 1024
        ),
        is_first_start=reader.flag('bootstrap'),
        report_interval_s=reader.number('heartbeat-interval-s', 1.5),
        bounds=reader.bounds('bounds'),
    )
    if reader.problems:
        raise exceptions.SettingsError(reader.problems)
    return settings


def path_from_environment() -> pathlib.Path:
    """Return the path of the settings file.

    Raises:
        SettingsError: The variable is not set.
    """
    value = os.environ.get(PATH_VARIABLE)
    if not value:
        raise exceptions.SettingsError(
            [exceptions.Problem(PATH_VARIABLE, 'nothing', 'a path')]
        )
    return pathlib.Path(value)


def load(path: pathlib.Path) -> PlatformSettings:
    """Return the settings of a file.

    Raises:
        SettingsError: The file cannot be read or is wrong.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.SettingsError(
            [exceptions.Problem(str(path), str(error), 'a readable file')]
        ) from error
    return parse(text)
