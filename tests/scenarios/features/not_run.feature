Feature: Not run
  A refusal that says "not run" is true (R8).

  Scenario: Upstreams and daemons fail under load
    Guards against "not run" for a call that an upstream saw, after an
    upstream or a daemon was killed, a daemon was paused, or open connections
    went silent. Calls are answered again afterwards.
    Given the service "van-booking" with 3 daemons in one failure domain
    And calls are never retried
    And other daemons reach "van-booking-2" through a relay
    And the workspace "blue-reef"
    And the fleet is running
    When "blue-reef" sends 60 calls/s to "van-booking" through "van-booking-1"
    And 1 s pass
    And the upstream of "van-booking-2" is killed
    And 1 s pass
    And the upstream of "van-booking-2" is started again
    And 2 s pass
    And the open connections to "van-booking-2" go silent
    And 5 s pass
    And "van-booking-3" is paused
    And 5 s pass
    And "van-booking-3" is resumed
    And 1 s pass
    And "van-booking-2" is killed
    And 2 s pass
    And the load ends
    Then the upstream of each daemon of "van-booking" saw calls
    And some calls were answered as not run
    And no upstream saw a call that was answered as not run
    And most calls were answered
    And calls of "blue-reef" to "van-booking" are answered again
