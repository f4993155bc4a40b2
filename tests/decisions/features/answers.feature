Feature: R7 A caller receives the whole answer to its own request

  Scenario: A repeat gets the whole answer of the first run
    Given an owner of the idempotency keys
    When a caller sends a new request
    And the run ends with an answer
    And the caller sends it again
    Then the caller gets the whole answer of the first run

  Scenario: Another workspace with the same key does not get the answer
    Given an owner of the idempotency keys
    When a caller sends a new request
    And the run ends with an answer
    And another workspace sends a request with the same key
    Then the caller's last attempt is run
