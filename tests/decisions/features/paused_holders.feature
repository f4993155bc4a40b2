Feature: Leases expire while their holder is paused

  Scenario Outline: An owner is paused and resumed
    Given daemons, a log and a network with seed <seed>
    When the owner of partition 0 is paused for 40 seconds
    And 120 seconds pass
    Then no partition ever had two owners
    And every partition has an owner

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: An owner is paused while the log is down
    Given daemons, a log and a network with seed 4
    When the log is down for 30 seconds
    And the owner of partition 0 is paused for 20 seconds
    And 120 seconds pass
    Then no partition ever had two owners
    And every partition has an owner

  Scenario Outline: Owners are paused between a check and a run while the log is down
    Given daemons, a log and a network with seed <seed>
    And callers that retry hard
    When the log is down for 30 seconds
    And the owner of partition 0 is paused for 20 seconds
    And 120 seconds pass
    Then no partition ever had two owners
    And no key was run twice

    Examples:
      | seed |
      | 1    |
      | 4    |

  Scenario: An owner is paused while its link to the guardian is cut
    Given daemons, a log and a network with seed 5
    And callers that retry hard
    When the link of the owner of partition 0 to its guardian is cut
    And the owner of partition 0 is paused for 12 seconds
    And 120 seconds pass
    Then no partition ever had two owners
    And no key was run twice

  Scenario: An owner of quota is paused and replaced while a daemon that holds tokens is paused
    Given a workspace that may send 100 requests per second and 100 at once, over 6 daemons
    When after 2 seconds the owner of partition 0 is paused beyond its lease and replaced
    And after 2 seconds a daemon is paused for 3 seconds
    And it sends 300 requests per second for 20 seconds
    Then no window of time holds more than its rate and burst
