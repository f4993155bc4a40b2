Feature: Combinations
  Two failures occur at the same time.

  Scenario: The log is down and a VM is lost
    Guards against refused calls when the loss of a partition should reduce
    the rate by only a third.
    Given the service "van-booking" with 3 daemons
    And the workspace "blue-reef"
    And the fleet is running
    When "blue-reef" sends 30 calls/s to "van-booking" through "van-booking-1" and "van-booking-2"
    And the log is down
    And the VM of "van-booking-3" is lost
    And 14 s pass
    And the load ends
    Then every call sent later than 4 s after the loss of "van-booking-3" was answered
    And no upstream saw a call that was answered as not run

  Scenario: A daemon is paused while a key is withdrawn
    Guards against a daemon that resumes and still accepts the withdrawn key.
    Given the service "van-booking" with 3 daemons
    And the workspace "blue-reef"
    And the fleet is running
    When "blue-reef" stays connected to each daemon
    And "van-booking-3" is paused
    And the key of "blue-reef" is withdrawn at "van-booking-1"
    And 4 s pass
    And "van-booking-3" is resumed
    Then within 3 s no connected caller gets an answer any more

  Scenario: An upstream is slow and the connections to its daemon go silent
    Guards against calls that are lost or wrongly reported as not run.
    Given the service "van-booking" with 3 daemons in one failure domain
    And other daemons reach "van-booking-2" through a relay
    And calls are never retried
    And the workspace "blue-reef"
    And the fleet is running
    When "blue-reef" sends 40 calls/s to "van-booking" through "van-booking-1"
    And the upstream of "van-booking-2" takes 0.5 s for each call
    And 2 s pass
    And the open connections to "van-booking-2" go silent
    And 6 s pass
    And the load ends
    Then no upstream saw a call that was answered as not run
    And most calls were answered
    And the upstream of each daemon of "van-booking" saw calls
    And calls of "blue-reef" to "van-booking" are answered again
