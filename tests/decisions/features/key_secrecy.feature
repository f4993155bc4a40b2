Feature: R4 No upstream ever sees a caller's key

  Scenario: The key is taken off a call and stays in the first daemon
    Given 3 daemons in 3 failure domains that read the log
    When a call of red waits at the second daemon
    Then the upstream sees a call of red without its key
    And nothing that daemons send each other contains the key
