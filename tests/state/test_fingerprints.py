"""Tests of the table of crash fingerprints."""

from sassafraswood.models import ids
from sassafraswood.state import fingerprints


def create_table() -> fingerprints.FingerprintTable:
    """Return a table with room for two crashes and two quarantines."""
    return fingerprints.FingerprintTable(max_crashes=2, max_quarantined=2)


def test_clearance_applies_to_its_own_crash_only() -> None:
    """Guards against a clearance that also clears a later crash."""
    table = create_table()
    key = ids.Fingerprint('a')
    entry = fingerprints.CrashEntry
    for given, expected in [
        (entry(5.0, True), entry(5.0, True)),
        (entry(5.0, False), entry(5.0, True)),
        (entry(6.0, False), entry(6.0, False)),
        (entry(5.0, True), entry(6.0, False)),
    ]:
        table.merge_crashes({key: given})
        assert table.crash(key) == expected


def test_full_table_keeps_the_latest_crashes() -> None:
    """Guards against evicting a recent crash in favour of an old one."""
    table = create_table()
    for number in [3, 1, 2]:
        key = ids.Fingerprint(str(number))
        table.merge_crashes(
            {key: fingerprints.CrashEntry(float(number), False)}
        )
    assert sorted(table.crashes) == ['2', '3']


def test_expired_entries_are_removed() -> None:
    """Guards against entries that stay after they expire."""
    table = create_table()
    key = ids.Fingerprint('a')
    table.merge_crashes({key: fingerprints.CrashEntry(5.0, False)})
    table.remove_until(4.0, 0.0)
    assert table.crash(key) is not None
    table.remove_until(5.0, 0.0)
    assert table.crash(key) is None
