Feature: Membership
  A leaving upstream gets no new work after 2 s (R10), and lost VMs are
  avoided until they return.

  Scenario: An upstream drains, a VM is lost and replaced, an upstream crashes
    Guards against calls to an upstream that drains or has ended, and against
    a VM or an upstream that is back but gets no calls.
    Given the service "van-booking" with 3 daemons in one failure domain
    And the workspace "blue-reef"
    And the fleet is running
    When "blue-reef" sends 40 calls/s to "van-booking" through "van-booking-1"
    And 1 s pass
    And the upstream of "van-booking-2" drains
    And 4 s pass
    Then the upstream of "van-booking-2" saw no call later than 2 s after it began to drain
    When the VM of "van-booking-3" is lost
    And 6 s pass
    And the load ends
    Then every call sent later than 4 s after the loss of "van-booking-3" was answered
    When "blue-reef" sends 40 calls/s to "van-booking" through "van-booking-1"
    And the VM of "van-booking-3" is replaced
    Then "van-booking-3" serves again
    And the upstream of "van-booking-3" gets calls again
    When the upstream of "van-booking-3" is killed
    And 1 s pass
    And the upstream of "van-booking-3" is started again
    Then "van-booking-3" serves again
    And the upstream of "van-booking-3" gets calls again
    When the load ends
    Then no upstream saw a call that was answered as not run
