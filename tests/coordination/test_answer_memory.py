"""Tests of the memory that is reserved for answers."""

from sassafraswood import clock
from sassafraswood.coordination import answer_memory

LARGE = answer_memory.LARGE_ANSWER_BYTES
LIMIT = 4 * LARGE


class Case:
    """A memory whose unsent bytes the test sets."""

    def __init__(self) -> None:
        """Create a memory in which one route has large answers."""
        self.unsent_bytes = 0
        self.memory = answer_memory.AnswerMemory(
            clock.ManualClock(), lambda: self.unsent_bytes
        )
        self.memory.limit = LIMIT
        self.memory.note_answer('large', LARGE)
        self.memory.note_answer('small', 100)


# Guards against answers of slow readers that fill the memory.
def test_calls_begin_while_their_answers_fit() -> None:
    """Those in flight count as well as those that are not read."""
    case = Case()
    case.unsent_bytes = 2 * LARGE
    reserved = [case.memory.reserve('large') for _ in range(3)]
    assert reserved == [LARGE, LARGE, None]
    case.memory.release(LARGE)
    assert case.memory.reserve('large') == LARGE


def test_small_answers_need_no_reservation() -> None:
    """They are refused only once the memory is full."""
    case = Case()
    case.unsent_bytes = LIMIT
    assert case.memory.reserve('small') == 0
    assert case.memory.reserve('unknown') == 0
    case.unsent_bytes = LIMIT + 1
    assert case.memory.reserve('small') is None


def test_single_answer_may_exceed_the_limit() -> None:
    """It would be refused for good otherwise."""
    case = Case()
    case.memory.note_answer('huge', 2 * LIMIT)
    assert case.memory.reserve('huge') == 2 * LIMIT
    assert case.memory.reserve('huge') is None
    assert case.memory.has_room(3 * LIMIT)


def test_answer_of_unexpected_size_is_dropped_if_there_is_no_room() -> None:
    """Too many calls may have begun before their size was known."""
    case = Case()
    case.unsent_bytes = answer_memory.DROP_FACTOR * LIMIT - LARGE
    assert case.memory.has_room(LARGE)
    case.unsent_bytes += 1
    assert not case.memory.has_room(LARGE)
    assert case.memory.has_room(100)
