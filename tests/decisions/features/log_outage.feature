Feature: The log is down or slow for long stretches

  Scenario: Owners keep their partitions during an outage
    Given daemons, a log and a network with seed 6
    When the log is down for 25 seconds
    And 20 seconds pass
    Then every partition has an owner
    And no partition ever had two owners

  Scenario: An owner crashes during an outage
    Given daemons, a log and a network with seed 7
    When the log is down for 30 seconds
    And the owner of partition 0 crashes
    And 25 seconds pass
    Then partition 0 has no owner
    When 120 seconds pass
    Then every partition has an owner
    And no partition ever had two owners

  Scenario: Keyed calls go on during an outage of the log alone
    Given 3 daemons in 3 failure domains that read the log
    When the log is unreachable for all daemons for 600 seconds
    And the daemons get replies from each other
    Then a call with a granted key is accepted by every daemon

  Scenario: A daemon that is also cut off refuses keyed calls
    Given 3 daemons in 3 failure domains that read the log
    When the log is unreachable for all daemons for 600 seconds
    And the daemons get replies from each other
    And the last daemon gets no reply for 3.1 seconds
    Then the last daemon refuses a call with a granted key as not run
    And the last daemon accepts a call on an open route
