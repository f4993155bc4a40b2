Feature: Crashing requests
  A caller repeats a request that crashes its upstream.

  Scenario: The same request is sent ten times
    Guards against one request that crashes several upstreams in turn, and
    against a quarantine that does not reach the other daemons.
    Given the service "van-booking" with 3 daemons in one failure domain
    And the workspace "blue-reef"
    And the fleet is running
    When "blue-reef" sends 20 calls/s to "van-booking" through each daemon
    And "blue-reef" sends one request that crashes upstreams of "van-booking" 10 times, and crashed upstreams are started again
    Then at most 2 upstreams crashed
    And every daemon refuses the crashing request as quarantined
    When 2 s pass
    And the load ends
    Then most other calls were answered
    And no upstream saw a call that was answered as not run
