Feature: Log outage
  While the log is unavailable, calls are admitted up to their rate.

  Scenario Outline: Traffic for 15 s while <fault>
    Guards against refusals because daemons consider their state too old, or
    because owners of partitions lose their leases after 10 s.
    Given the service "van-booking" with 3 daemons
    And the workspace "blue-reef"
    And the fleet is running
    When "blue-reef" sends 30 calls/s to "van-booking" through each daemon
    And <fault>
    And 15 s pass
    And the load ends
    Then every call was answered

    Examples:
      | fault                   |
      | the log is down         |
      | the log is silent       |
      | the log answers 2 s late |
