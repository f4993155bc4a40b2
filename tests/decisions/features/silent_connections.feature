Feature: Open connections go silent for good while new ones work

  Scenario: A silent peer deep in the chain costs no more than the allowance
    Given a call graph 12 deep in which each service makes 1 calls
    And the service at depth 12 goes silent
    When a caller sends a request with 2 retries
    Then the whole graph makes exactly 2 retries

  Scenario: A call that may have started before the silence is not repeated
    Then no reason for a refusal makes a hop repeat a non-idempotent call that may have started

  Scenario: A peer that went silent is avoided and its neighbour takes the calls
    Given an upstream north-1 and an upstream north-2 in service
    When the connection to north-1 goes silent
    And 300 calls arrive within 3 seconds
    Then north-1 gets 0 of them
    And every call gets an upstream

  Scenario: A silent peer while the other upstream leaves
    Given an upstream north-1 and an upstream north-2 in service
    When the connection to north-1 goes silent
    And north-2 says that it is leaving
    And 300 calls arrive within 3 seconds
    Then north-2 gets 0 of them
    And a call without an upstream is refused as not run
