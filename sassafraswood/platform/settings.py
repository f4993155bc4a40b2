"""Settings file that the platform provides to a daemon."""

from collections.abc import Callable
import dataclasses
import ipaddress
import math
import os
import pathlib
import re
import time
import tomllib
from typing import Any, Final

from sassafraswood import exceptions
from sassafraswood.models import ids

# Memory of the smallest VMs.
DEFAULT_MEMORY_MB: Final = 200
PATH_VARIABLE: Final = 'SASSAFRASWOOD_SETTINGS'
# Time for which a start waits for a file that is missing or invalid, because
# it may be written at that moment, and the interval between two reads.
START_WAIT_S: Final = 5.0
START_READ_INTERVAL_S: Final = 0.05
_PORT: Final = re.compile('[0-9]{1,5}')


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """Service level bounds that the operator sets for the fleet.

    Attributes:
        revoke_s: Time within which a withdrawn key is refused, in seconds.
        applies_revocation_everywhere: Whether revoke_s also binds daemons that
            cannot reach the store.
        apply_s: Time within which new rules are in force, in seconds.
        grace_s: Time from the termination signal until the process is killed,
            in seconds.
        retry_ratio: Allowed retries that arrive at upstreams, relative to
            requests.
        retry_slack: Allowed retries of the whole fleet beyond the ratio.
        retry_window_s: Length of the window in which requests and retries are
            counted, in seconds.
        quota_tolerance: Allowed excess over rate and burst, as a fraction of
            them.
        quota_slack: Allowed number of requests in a window beyond rate, burst
            and tolerance.
        cold_excess: Factor on the rate that a cold upstream tolerates up to
            which requests may arrive there; 0 if no such rate is in force.
        cold_slack: Requests in a second beyond that product.
        evacuate_s: Time within which an evacuated failure domain gets no
            further requests, in seconds.
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
    cold_excess: float = 0.0
    cold_slack: float = 0.0
    evacuate_s: float = 5.0

    @property
    def key_age_s(self) -> float:
        """Return the greatest age of the rules at which keys are accepted.

        The age is in seconds.
        """
        if self.applies_revocation_everywhere:
            return self.revoke_s
        return math.inf


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformSettings:
    """Settings of a daemon process.

    Attributes:
        caller_address: Listen address for requests of callers and of the
            local upstream.
        peer_address: Listen address for messages of other daemons.
        advertised_address: Address to which other daemons send messages; it
            differs from peer_address if a proxy is in between.
        ready_address: Listen address for the platform's readiness checks.
        report_address: Listen address for the reports of the local upstream.
        store_address: Address of the platform's store.
        upstream_address: Address of the local upstream.
        memory_bytes: Memory limit above which the process is killed.
        is_first_start: Whether the whole fleet starts for the first time.
        report_interval_s: Interval between reports of the local upstream.
        bounds: Service level bounds of the fleet.
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


# Maps the names of the bounds on the platform to the fields of Bounds.
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
    'cold-excess': 'cold_excess',
    'cold-slack': 'cold_slack',
    'evacuate-s': 'evacuate_s',
}


class _Reader:
    """Reads values from a TOML table and collects the problems found.

    Paths are dotted keys such as `listen.inbound`.
    """

    def __init__(self, table: dict[str, Any]) -> None:
        self._table = table
        self.problems: list[exceptions.Problem] = []

    def _find(self, path: str) -> Any:
        value: Any = self._table
        for name in path.split('.'):
            value = value.get(name) if isinstance(value, dict) else None
        return value

    def _add_problem(self, path: str, value: Any, allowed: str) -> None:
        found = 'nothing' if value is None else repr(value)
        self.problems.append(exceptions.Problem(path, found, allowed))

    def text(self, path: str) -> str:
        """Return a non-empty string; an empty one after a problem."""
        value = self._find(path)
        if isinstance(value, str) and value:
            return value
        self._add_problem(path, value, 'a non-empty string')
        return ''

    def number(self, path: str, default: float) -> float:
        """Return a number above 0, or the default if there is no value."""
        value = self._find(path)
        if value is None:
            return default
        if (
            isinstance(value, int | float)
            and not isinstance(value, bool)
            and 0 < value < math.inf
        ):
            return float(value)
        self._add_problem(path, value, 'a number above 0')
        return default

    def flag(self, path: str) -> bool:
        """Return a boolean; false if there is no value."""
        value = self._find(path)
        if value is None or isinstance(value, bool):
            return bool(value)
        self._add_problem(path, value, 'true or false')
        return False

    def address(self, path: str, fallback_path: str = '') -> tuple[str, int]:
        """Return the IP address and port at the path or the fallback path."""
        if fallback_path and self._find(path) is None:
            path = fallback_path
        value = self._find(path)
        if isinstance(value, str):
            address = parse_address(value)
            if address is not None:
                return address
        self._add_problem(path, value, 'an IP address and port')
        return '', 0

    def bounds(self, path: str) -> Bounds:
        """Return the bounds; those without a value have their default.

        The value is a list of strings name=value, or one string with commas
        in between. Unknown names are ignored.
        """
        rows = self._find(path)
        if isinstance(rows, str):
            rows = rows.split(',')
        if not isinstance(rows, list):
            self._add_problem(path, rows, 'a list of strings name=value')
            return Bounds()
        values: dict[str, Any] = {}
        for row in rows:
            name, _, text = str(row).partition('=')
            field = _BOUND_NAMES.get(name.strip())
            if field is None:
                continue
            value = _parse_bound(text.strip())
            if value is None:
                self._add_problem(
                    f'{path}.{name}', text, 'a number, true or false'
                )
                continue
            values[field] = value
        return Bounds(**values)


def parse_address(text: str) -> tuple[str, int] | None:
    """Return the IPv4 address and port in a text, or None if it is invalid."""
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
    """Return the settings that the text of a settings file holds.

    Raises:
        SettingsError: The text is invalid; the error lists all problems.
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
        SettingsError: The environment variable PATH_VARIABLE is not set.
    """
    value = os.environ.get(PATH_VARIABLE)
    if not value:
        raise exceptions.SettingsError(
            [
                exceptions.Problem(
                    PATH_VARIABLE, 'nothing', 'the path of a file'
                )
            ]
        )
    return pathlib.Path(value)


def load(path: pathlib.Path) -> PlatformSettings:
    """Return the settings that a file holds.

    Raises:
        SettingsError: The file cannot be read or is invalid.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.SettingsError(
            [exceptions.Problem(str(path), str(error), 'a readable file')]
        ) from error
    return parse(text)


def load_at_start(
    path: pathlib.Path,
    *,
    is_stopping: Callable[[], bool],
    on_wait: Callable[[exceptions.SettingsError], None],
) -> PlatformSettings:
    """Return the settings that a file holds, or will hold soon.

    Args:
        path: Path of the file.
        is_stopping: Returns whether to wait no longer.
        on_wait: Called once with the problems of the first read, if any.

    Raises:
        SettingsError: The file cannot be read or is invalid after the wait.
    """
    wait_until = time.monotonic() + START_WAIT_S
    is_waiting = False
    while True:
        try:
            return load(path)
        except exceptions.SettingsError as error:
            if is_stopping() or time.monotonic() > wait_until:
                raise
            if not is_waiting:
                on_wait(error)
            is_waiting = True
        time.sleep(START_READ_INTERVAL_S)
