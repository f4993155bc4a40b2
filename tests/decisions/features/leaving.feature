Feature: R10 A leaving upstream gets no new work after a few seconds

  Scenario: A leaving upstream gets no call from a daemon that knows
    Given an upstream north-1 and an upstream north-2 in service
    When north-1 says that it is leaving
    And 300 calls arrive within 3 seconds
    Then north-1 gets 0 of them
    And every call gets an upstream

  Scenario: A draining upstream gets no call once an answer tells of it
    Given an upstream north-1 and an upstream north-2 in service
    When the upstream north-1 says that it is draining
    And 100 calls arrive within 1 seconds
    Then north-1 gets 0 of them

  Scenario: The news of a leaving daemon spreads within 2 s
    Given a fleet of 15 daemons in 3 failure domains
    When a daemon of failure domain 0 says it is leaving
    And the fleet gossips for 2 seconds
    Then at least 100% of the daemons know that it leaves

  Scenario: The news spreads while messages are lost
    Given a fleet of 15 daemons in 3 failure domains
    And 20% of messages are lost
    When a daemon of failure domain 0 says it is leaving
    And the fleet gossips for 5 seconds
    Then at least 100% of the daemons know that it leaves

  Scenario: A daemon leaves while its failure domain is cut off
    Given a fleet of 15 daemons in 3 failure domains
    And failure domain 0 cannot reach the others
    When a daemon of failure domain 0 says it is leaving
    And the fleet gossips for 60 seconds
    Then no daemon of another failure domain knows that it leaves
    And every daemon still knows every member
    When the failure domains reach each other again
    And the fleet gossips for 5 seconds
    Then at least 100% of the daemons know that it leaves
