Feature: Keys are withdrawn from callers that are still connected

  Scenario: A connected caller with a call in a queue
    Given 3 daemons in 3 failure domains that read the log
    When a call of red waits at the second daemon
    And the key of red is withdrawn
    And 1 s pass and every daemon reads the log
    Then the waiting call is refused as not run
    And no daemon accepts the withdrawn key

  Scenario: The key is withdrawn while the log is out of reach of all
    Given 3 daemons in 3 failure domains that read the log
    When a call of red waits at the second daemon
    And the key of red is withdrawn
    And the log is unreachable for all daemons for 4 seconds
    Then the waiting call is refused as not run

  Scenario: The key is withdrawn while operators race
    Given 3 daemons in 3 failure domains that read the log
    When a call of red waits at the second daemon
    And 4 operators publish at once, each replacing revision 1
    And the key of red is withdrawn
    And 1 s pass and every daemon reads the log
    Then the waiting call is refused as not run
    And exactly one of 4 operators is accepted, and the others get a conflict
