Feature: R8 A refusal that says "not run" is true

  Scenario: A call that admission refuses was never started
    Given an upstream with 15 slots
    And callers that retry hard and send 2 times its capacity
    When 10 seconds pass at the upstream
    Then every request was either started or refused, and only once
    And no request that was refused as not run had been started

  Scenario: A call is refused truthfully while the upstream is slow
    Given an upstream with 15 slots
    And callers that retry hard and send 2 times its capacity
    And its calls take 4 times as long from second 4 to second 7
    When 10 seconds pass at the upstream
    Then every request was either started or refused, and only once
    And no request that was refused as not run had been started

  Scenario: A refused key is free for another run
    Given an owner of the idempotency keys
    When a caller sends a new request
    And the run ends with a refusal as not run
    And the caller sends it again
    Then the caller's last attempt is run
    And the request is run 1 times
