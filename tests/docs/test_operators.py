"""Checks that the operators' page matches the code."""

import pathlib
import re

from sassafraswood.models import enums


def test_each_counter_is_explained_once() -> None:
    """Guards against counters that the page does not explain."""
    page = pathlib.Path('docs/operators/README.md').read_text()
    rows = re.findall(
        r'^\| `((?:refused|retried)\.\w+)` \| [^|]+ \| [^|]+ \|$',
        page,
        re.MULTILINE,
    )
    expected = [f'refused.{reason.value}' for reason in enums.RefusalReason]
    expected += [f'retried.{reason.value}' for reason in enums.RetryReason]
    assert rows == expected
