Feature: R9 A non-idempotent request runs at most once

  Scenario: A repeat during the run waits for its answer
    Given an owner of the idempotency keys
    When a caller sends a new request
    And the caller sends it again
    Then the caller's last attempt waits for the run
    When the run ends with an answer
    Then the caller gets the whole answer of the first run
    And the request is run 1 times

  Scenario: A repeat of a run with an unknown outcome
    Given an owner of the idempotency keys
    When a caller sends a new request
    And the run ends with an unknown outcome
    And the caller sends it again
    Then the caller is told that the outcome is unknown
    And the request is run 1 times

  Scenario: The owner is killed before the run
    Given an owner of the idempotency keys
    When a caller mints a key
    And the owner is killed and its guardian takes over
    And the caller sends it again
    Then the caller is told that the outcome is unknown
    And the request is run 0 times
    When a few seconds pass
    And a caller sends a new request
    Then the request is run 1 times

  Scenario: The owner is killed during the run
    Given an owner of the idempotency keys
    When a caller sends a new request
    And the owner is killed and its guardian takes over
    And the caller sends it again
    Then the caller is told that the outcome is unknown
    And the request is run 1 times

  Scenario: The owner is killed after the run
    Given an owner of the idempotency keys
    When a caller sends a new request
    And the run ends with an answer
    And the owner is killed and its guardian takes over
    And the caller sends it again
    Then the caller is told that the outcome is unknown
    And the request is run 1 times

  Scenario: The owner is paused before the run and resumed
    Given an owner of the idempotency keys
    When a caller mints a key
    And the owner is paused and its guardian takes over
    And the paused owner resumes and gets the request once more
    Then the caller is told that the request was not run there
    And the request is run 0 times

  Scenario: The owner is paused during the run and resumed
    Given an owner of the idempotency keys
    When a caller sends a new request
    And the owner is paused and its guardian takes over
    And the caller sends it again
    Then the caller is told that the outcome is unknown
    When the paused owner resumes and gets the request once more
    Then the caller's last attempt waits for the run
    And the request is run 1 times

  Scenario: Owners are killed one after the other
    Given an owner of the idempotency keys
    When a caller sends a new request
    And the owner is killed and its guardian takes over
    And the owner is killed and its guardian takes over
    And the caller sends it again
    Then the caller is told that the outcome is unknown
    And the request is run 1 times

  Scenario: Callers repeat hard under faults of every kind
    Given daemons, a log and a network with seed 31
    And callers that retry hard
    And faults of every kind at random
    When 150 seconds pass
    Then no partition ever had two owners
    And no key was run twice
