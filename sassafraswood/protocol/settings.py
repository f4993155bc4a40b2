"""Settings of a daemon."""

from collections.abc import Callable
from collections.abc import Mapping
import ipaddress
import re
import struct
import typing
import urllib.parse

import msgspec
from zmq.utils import z85

from sassafraswood import const
from sassafraswood import exceptions
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.protocol import checks

MAX_PEERS: typing.Final = 1000
MIN_TOKEN_CHARACTERS: typing.Final = 16
MAX_TOKEN_CHARACTERS: typing.Final = 512
Z85_KEY_CHARACTERS: typing.Final = 40

_TOKEN: typing.Final = re.compile(
    rf'[!-~]{{{MIN_TOKEN_CHARACTERS},{MAX_TOKEN_CHARACTERS}}}'
)
_TOKEN_ALLOWED: typing.Final = (
    f'{MIN_TOKEN_CHARACTERS} to {MAX_TOKEN_CHARACTERS} visible ASCII '
    'characters'
)
_KEY_ALLOWED: typing.Final = 'a Z85 key of 40 characters'
_SOURCE_ALLOWED: typing.Final = '{"file": path} or {"env": name}'
_ENVIRONMENT_NAME: typing.Final = re.compile(r'[A-Za-z_][A-Za-z0-9_]{0,254}')
_FILE_PATH: typing.Final = re.compile(r'[^\x00]{1,4096}')
_STREAM: typing.Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,127}')
_STATSD_PREFIX: typing.Final = re.compile(r'[A-Za-z0-9_][A-Za-z0-9_.-]{0,127}')
_ADDRESS: typing.Final = re.compile(
    r'(?:(?P<v4>[0-9.]{7,15})|\[(?P<v6>[0-9A-Fa-f:.]{2,45})\])'
    r':(?P<port>[0-9]{1,5})'
)


class Secret:
    """A string that its representations do not reveal."""

    __slots__ = ('_value',)

    def __init__(self, value: str) -> None:
        """Initialize the secret with its text."""
        self._value = value

    def __repr__(self) -> str:
        """Return a fixed text that does not reveal the secret."""
        return 'Secret(...)'

    def __eq__(self, other: object) -> bool:
        """Return whether the other value is a secret with the same text."""
        return isinstance(other, Secret) and other._value == self._value

    def __hash__(self) -> int:
        """Return the hash of the secret text."""
        return hash(self._value)

    def reveal(self) -> str:
        """Return the secret text."""
        return self._value


class SecretSource(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Where a secret is; exactly one of the two is given.

    Attributes:
        file: Path of a file; white space around the secret is removed.
        env: Name of an environment variable.
    """

    file: str | None = None
    env: str | None = None


class LogSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The platform's log.

    Attributes:
        url: Base URL, without the path /streams.
        stream: Name of the stream.
    """

    url: str
    stream: str


class StatsdSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Where counters go, by UDP."""

    address: str
    prefix: str = 'sassafraswood'


class PeerSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A daemon to ask first for members and records."""

    address: str
    daemon_id: ids.DaemonId | None = None


class LimitSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Limits of one daemon.

    Attributes:
        max_connections: Open connections of callers.
        max_calls: Calls in flight that this daemon received.
        max_header_bytes: Size of the headers of a request in bytes.
        drain_timeout_s: Longest time for a graceful stop in seconds.
    """

    max_connections: int = 4096
    max_calls: int = 4096
    max_header_bytes: int = const.MAX_HEADER_BYTES
    drain_timeout_s: float = const.DRAIN_TIMEOUT_S


class _Common(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    daemon_id: ids.DaemonId
    service: ids.ServiceName
    region: str
    failure_domain: ids.FailureDomain
    caller_listen: str
    local_listen: str
    peer_listen: str
    advertised_http_address: str
    advertised_peer_address: str
    log: LogSettings
    statsd: StatsdSettings | None = None
    control: enums.ControlMode = enums.ControlMode.FULL
    limits: LimitSettings = LimitSettings()


class SettingsFile(_Common, frozen=True, kw_only=True):
    """Settings as written in the settings file."""

    operator_token: SecretSource
    curve_secret_key: SecretSource
    curve_public_key: SecretSource
    peers: list[str | PeerSettings] = []


class Settings(_Common, frozen=True, kw_only=True):
    """Settings of a daemon, with its secrets resolved.

    Attributes:
        caller_listen: host:port for callers.
        local_listen: host:port for the upstream and operators.
        peer_listen: host:port for other daemons.
        advertised_http_address: host:port at which others reach
            caller_listen.
        advertised_peer_address: host:port at which others reach peer_listen.
        operator_token: Bearer token of the operators' interface.
        curve_secret_key: CURVE key of the fleet in Z85.
        curve_public_key: CURVE key of the fleet in Z85.
    """

    operator_token: Secret
    curve_secret_key: Secret
    curve_public_key: Secret
    peers: tuple[PeerSettings, ...] = ()


def settings_schema() -> dict[str, typing.Any]:
    """Return the JSON Schema of a settings file."""
    return msgspec.json.schema(SettingsFile)


def load_settings(
    text: str,
    environ: Mapping[str, str],
    read_file: Callable[[str], str],
) -> Settings:
    """Return the settings that a JSON text holds.

    Args:
        text: Content of the settings file.
        environ: Environment variables that may hold secrets.
        read_file: Function that returns the text of a file; may raise OSError
            or UnicodeDecodeError.

    Raises:
        SettingsError: The settings are invalid; the error lists all problems
            and contains no secret.
    """
    try:
        value = msgspec.json.decode(text)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        problem = exceptions.Problem('$', str(error), 'JSON')
        raise exceptions.SettingsError([problem]) from error
    checker = checks.Checker()
    fields = checker.fields('$', value, SettingsFile)
    _check_fields(checker, fields)
    secrets = _read_secrets(checker, fields, environ, read_file)
    peers = _check_peers(checker, fields.get('peers', []))
    if checker.problems:
        raise exceptions.SettingsError(checker.problems)
    plain = {
        name: item
        for name, item in fields.items()
        if name not in secrets and name != 'peers'
    }
    try:
        common = msgspec.convert(plain, _Common)
    except msgspec.ValidationError as error:
        problem = exceptions.Problem('$', str(error), 'settings')
        raise exceptions.SettingsError([problem]) from error
    values: dict[str, typing.Any] = {
        name: getattr(common, name) for name in common.__struct_fields__
    }
    return Settings(**values, **typing.cast(dict, secrets), peers=peers)


def _check_fields(checker: checks.Checker, fields: dict) -> None:
    """Check all fields other than secrets and peers."""
    for name in ('daemon_id', 'service', 'region', 'failure_domain'):
        if name in fields:
            checker.name(f'$.{name}', fields[name])
    for name in ('caller_listen', 'local_listen', 'peer_listen'):
        if name in fields:
            _check_address(checker, f'$.{name}', fields[name])
    for name in ('advertised_http_address', 'advertised_peer_address'):
        if name in fields:
            _check_address(checker, f'$.{name}', fields[name], is_target=True)
    if 'control' in fields:
        checker.word('$.control', fields['control'], list(enums.ControlMode))
    if 'log' in fields:
        _check_log(checker, fields['log'])
    if fields.get('statsd') is not None:
        statsd = checker.fields('$.statsd', fields['statsd'], StatsdSettings)
        if 'address' in statsd:
            _check_address(
                checker, '$.statsd.address', statsd['address'], is_target=True
            )
        if 'prefix' in statsd:
            checker.text(
                '$.statsd.prefix',
                statsd['prefix'],
                _STATSD_PREFIX,
                'letters, digits, dots, hyphens and underscores',
            )
    if 'limits' in fields:
        _check_limits(checker, fields['limits'])


def _check_log(checker: checks.Checker, value: object) -> None:
    log = checker.fields('$.log', value, LogSettings)
    if 'url' in log and not _is_base_url(log['url']):
        # The URL may contain a password, so the message does not show it.
        checker.add(
            '$.log.url',
            'another value (not shown)',
            'http://host:port or https://host:port with an optional path, '
            'without user, query and fragment',
        )
    if 'stream' in log:
        checker.text(
            '$.log.stream',
            log['stream'],
            _STREAM,
            'letters, digits, dots, hyphens and underscores',
        )


def _check_limits(checker: checks.Checker, value: object) -> None:
    limits = checker.fields('$.limits', value, LimitSettings)
    for name in ('max_connections', 'max_calls'):
        if name in limits:
            checker.integer(f'$.limits.{name}', limits[name], 1, 1_000_000)
    if 'max_header_bytes' in limits:
        checker.integer(
            '$.limits.max_header_bytes',
            limits['max_header_bytes'],
            1024,
            1024 * 1024,
        )
    if 'drain_timeout_s' in limits:
        checker.number(
            '$.limits.drain_timeout_s',
            limits['drain_timeout_s'],
            least=0.0,
            most=3600.0,
        )


def _check_peers(
    checker: checks.Checker, value: object
) -> tuple[PeerSettings, ...]:
    peers = []
    for index, item in enumerate(
        checker.elements('$.peers', value, MAX_PEERS)
    ):
        path = f'$.peers[{index}]'
        if isinstance(item, str):
            item = {'address': item}
        fields = checker.fields(path, item, PeerSettings)
        if 'address' in fields:
            _check_address(
                checker, f'{path}.address', fields['address'], is_target=True
            )
        if fields.get('daemon_id') is not None:
            checker.name(f'{path}.daemon_id', fields['daemon_id'])
        peers.append(
            PeerSettings(
                address=fields.get('address', ''),
                daemon_id=fields.get('daemon_id'),
            )
        )
    return tuple(peers)


def _check_address(
    checker: checks.Checker,
    path: str,
    value: object,
    is_target: bool = False,
) -> None:
    """Check an address that consists of an IP address and a port.

    A target is an address to connect to, so the unspecified address and port 0
    are invalid.
    """
    allowed = 'IP address and port, such as 10.0.0.1:8080 or [fd00::1]:8080'
    if is_target:
        allowed += ', not 0.0.0.0 and not port 0'
    if not isinstance(value, str) or not _is_address(value, is_target):
        checker.add(path, checks.describe_value(value), allowed)


def _is_address(value: str, is_target: bool) -> bool:
    match = _ADDRESS.fullmatch(value)
    if match is None or int(match['port']) > 65535:
        return False
    try:
        host = ipaddress.ip_address(match['v4'] or match['v6'])
    except ValueError:
        return False
    return not (is_target and (host.is_unspecified or match['port'] == '0'))


def _is_base_url(value: object) -> bool:
    if not isinstance(value, str) or not re.fullmatch(r'[!-~]+', value):
        return False
    try:
        url = urllib.parse.urlsplit(value)
        port = url.port
    except ValueError:
        return False
    if url.scheme not in ('http', 'https') or not url.hostname or port == 0:
        return False
    return '@' not in url.netloc and '?' not in value and '#' not in value


def _read_secrets(
    checker: checks.Checker,
    fields: dict,
    environ: Mapping[str, str],
    read_file: Callable[[str], str],
) -> dict[str, Secret]:
    secrets = {}
    for name in ('operator_token', 'curve_secret_key', 'curve_public_key'):
        if name not in fields:
            continue
        path = f'$.{name}'
        value = _read_secret(checker, path, fields[name], environ, read_file)
        if value is None:
            continue
        if name == 'operator_token':
            is_valid = _TOKEN.fullmatch(value) is not None
            allowed = _TOKEN_ALLOWED
        else:
            is_valid = _is_curve_key(value)
            allowed = _KEY_ALLOWED
        if not is_valid:
            checker.add(path, 'another value (not shown)', allowed)
        secrets[name] = Secret(value)
    return secrets


def _read_secret(
    checker: checks.Checker,
    path: str,
    source: object,
    environ: Mapping[str, str],
    read_file: Callable[[str], str],
) -> str | None:
    if not isinstance(source, dict) or len(source) != 1:
        # The value may be the secret itself, so the message does not show it.
        checker.add(path, 'another value (not shown)', _SOURCE_ALLOWED)
        return None
    [(kind, location)] = source.items()
    if kind == 'env' and isinstance(location, str):
        if not _ENVIRONMENT_NAME.fullmatch(location):
            # The value may be the secret itself instead of a variable name.
            checker.add(
                f'{path}.env',
                'another value (not shown)',
                'the name of an environment variable',
            )
            return None
        if location not in environ:
            checker.add(
                f'{path}.env',
                f'{location}, not set',
                'an environment variable that is set',
            )
            return None
        return environ[location]
    if kind == 'file' and isinstance(location, str):
        if not _FILE_PATH.fullmatch(location):
            checker.add(
                f'{path}.file', 'another value (not shown)', 'a file path'
            )
            return None
        try:
            return read_file(location).strip()
        except (OSError, ValueError) as error:
            checker.add(
                f'{path}.file',
                f'{checks.describe_value(location)} ({type(error).__name__})',
                'a readable text file',
            )
            return None
    checker.add(path, 'another value (not shown)', _SOURCE_ALLOWED)
    return None


def _is_curve_key(value: str) -> bool:
    if len(value) != Z85_KEY_CHARACTERS or not value.isascii():
        return False
    try:
        # Decoding accepts groups that exceed 32 bits, so the result is encoded
        # again and compared.
        return z85.encode(z85.decode(value)) == value.encode()
    except (KeyError, ValueError, OverflowError, struct.error):
        return False
