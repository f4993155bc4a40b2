Feature: Quota
  No workspace gets more than its rate and burst over all VMs together (R6).

  Scenario: One workspace sends three times its rate through all daemons
    Guards against daemons that each admit the whole rate, and against
    refusals for a workspace that stays within its own rate.
    Given the service "van-booking" with 3 daemons
    And the workspace "flood" with a rate of 30 calls/s and a burst of 30
    And the workspace "blue-reef" with a rate of 60 calls/s and a burst of 60
    And the fleet is running
    When "flood" sends 90 calls/s to "van-booking" through each daemon
    And "blue-reef" sends 30 calls/s to "van-booking" through each daemon
    And 8 s pass
    And the load ends
    Then the answers of "flood" in any window stay within its burst and rate
    And at most 1 in 1,000 calls of "blue-reef" was refused
    And no upstream saw a call that was answered as not run
