"""Tests of the trims of the C heap."""

from sassafraswood.sidecar import heap

MB = 1 << 20


# Load: crowds whose bodies are released all at once.
def test_heap_is_trimmed_once_after_a_large_release() -> None:
    """It is not while the load rises or falls a little."""
    trimmer = heap.HeapTrimmer()
    calls = []
    trimmer._trim = calls.append
    held_mb = [0, 20, 15, 30, 2, 2, 9, 0, 20]
    assert [trimmer.note(held * MB) for held in held_mb] == [
        held == 2 and index == 4 or held == 0 and index == 7
        for index, held in enumerate(held_mb)
    ]
    assert calls == [0, 0]
