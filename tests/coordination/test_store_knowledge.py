"""Tests of the age of the state known from the store."""

from sassafraswood import clock
from sassafraswood.coordination import store_knowledge


def test_keys_are_accepted_only_while_withdrawals_are_known() -> None:
    """Guards against keys accepted after withdrawals may have been missed.

    Without a read of the store, keys are refused before the age limit.
    """
    manual_clock = clock.ManualClock()
    knowledge = store_knowledge.StoreKnowledge(manual_clock)
    assert not knowledge.may_accept_keys(5.0)
    knowledge.note_rules(3, manual_clock.monotonic())
    manual_clock.advance(4.5)
    assert knowledge.may_accept_keys(5.0)
    manual_clock.advance(0.2)
    assert not knowledge.may_accept_keys(5.0)


def test_peer_confirms_the_same_version() -> None:
    """Guards against ignoring a peer that has read the store more recently.

    The version counts as the newest as of the time that the peer confirms.
    """
    manual_clock = clock.ManualClock()
    knowledge = store_knowledge.StoreKnowledge(manual_clock)
    knowledge.note_rules(3, manual_clock.monotonic())
    manual_clock.advance(4.0)
    knowledge.note_rules(3, manual_clock.monotonic() - 1.0)
    manual_clock.advance(3.0)
    assert knowledge.may_accept_keys(5.0)


def test_older_version_vouches_for_nothing() -> None:
    """Guards against a peer with older rules that confirms newer ones."""
    manual_clock = clock.ManualClock()
    knowledge = store_knowledge.StoreKnowledge(manual_clock)
    knowledge.note_rules(4, manual_clock.monotonic())
    manual_clock.advance(4.7)
    knowledge.note_rules(3, manual_clock.monotonic())
    assert knowledge.rules_version == 4
    assert not knowledge.may_accept_keys(5.0)


def test_first_rules_of_a_peer_must_be_confirmed() -> None:
    """Guards against using the rules of a peer as current without an age.

    They may be outdated.
    """
    knowledge = store_knowledge.StoreKnowledge(clock.ManualClock())
    knowledge.note_rules(5, -float('inf'))
    assert not knowledge.may_accept_keys(5.0)


def test_newer_version_of_a_peer_keeps_the_time_of_the_old_one() -> None:
    """Guards against refusals after each change of the rules.

    A newer version includes everything that was known before it.
    """
    manual_clock = clock.ManualClock()
    knowledge = store_knowledge.StoreKnowledge(manual_clock)
    knowledge.note_rules(4, manual_clock.monotonic())
    knowledge.note_members(2, manual_clock.monotonic())
    manual_clock.advance(1.0)
    knowledge.note_rules(5, -float('inf'))
    knowledge.note_members(3, -float('inf'))
    assert knowledge.may_accept_keys(5.0)
    assert knowledge.may_spend_share(5.0)
    manual_clock.advance(3.7)
    assert not knowledge.may_accept_keys(5.0)


def test_late_reply_counts_as_of_its_request() -> None:
    """Guards against a late reply that makes old state look current."""
    manual_clock = clock.ManualClock()
    knowledge = store_knowledge.StoreKnowledge(manual_clock)
    requested_at = manual_clock.monotonic()
    manual_clock.advance(10.0)
    knowledge.note_members(7, requested_at)
    assert not knowledge.may_spend_share(5.0)
