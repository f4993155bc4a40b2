Feature: R5 A withdrawn key stops working within seconds

  Scenario: A withdrawn key is refused once daemons have read of it
    Given 3 daemons in 3 failure domains that read the log
    When the key of red is withdrawn
    And 1 s pass and every daemon reads the log
    Then no daemon accepts the withdrawn key
    And a call with the key of blue runs for blue

  Scenario: Queued work is refused too
    Given 3 daemons in 3 failure domains that read the log
    When a call of red waits at the second daemon
    Then the waiting call may run
    When the key of red is withdrawn
    And 1 s pass and every daemon reads the log
    Then the waiting call is refused as not run

  Scenario: A daemon that cannot read of the withdrawal stops within 3.1 s
    Given 3 daemons in 3 failure domains that read the log
    When the key of red is withdrawn
    And 3.1 s pass and every daemon but the last reads the log
    Then no daemon accepts the withdrawn key
    And the last daemon refuses a call with a granted key as not run

  Scenario: An older snapshot does not bring a withdrawn key back
    Given 3 daemons in 3 failure domains that read the log
    When the key of red is withdrawn
    And 1 s pass and every daemon reads the log
    And a daemon starts from the snapshot of a peer
    And it is offered an older snapshot
    And old records are delivered once more
    And every daemon reads the log
    Then no daemon accepts the withdrawn key
