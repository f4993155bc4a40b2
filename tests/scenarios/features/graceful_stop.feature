Feature: Graceful stop
  Every planned stop is graceful: no request in flight is broken off (R11).

  Scenario: A rolling restart of every daemon under load
    Guards against calls that are broken off or refused because another
    daemon stops, and against a daemon that does not end after SIGTERM.
    Given the service "van-booking" with 3 daemons in one failure domain
    And the workspace "blue-reef"
    And the fleet is running
    When each daemon of "van-booking" is stopped and started again in turn, while "blue-reef" sends 30 calls/s through the others
    Then every call was answered
