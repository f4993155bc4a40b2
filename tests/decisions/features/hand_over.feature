Feature: R11 Every planned stop is graceful

  Scenario: The next owner knows the answers of the former one
    Given an owner of the idempotency keys
    When a caller sends a new request
    And the run ends with an answer
    And the owner stops as planned and hands over
    And the caller sends it again
    Then the caller gets the whole answer of the first run
    And the request is run 1 times

  Scenario: A planned stop whose state is lost on the way
    Given an owner of the idempotency keys
    When a caller sends a new request
    And the run ends with an answer
    And the owner stops as planned and its state is lost
    And the caller sends it again
    Then the caller is told that the outcome is unknown
    And the request is run 1 times

  Scenario: A planned stop hands partitions over without a claim
    Given daemons, a log and a network with seed 3
    When the owner of partition 0 stops as planned
    And 10 seconds pass
    Then the partition was handed over without a claim
    And no partition ever had two owners
    And every partition has an owner

  Scenario: A planned stop while the log is down
    Given daemons, a log and a network with seed 3
    When the log is down for 15 seconds
    And the owner of partition 0 stops as planned
    And 60 seconds pass
    Then no partition ever had two owners
    And every partition has an owner
