Feature: Answers
  A caller receives the whole answer to its own request (R7).

  Background:
    Given the service "van-booking" with 2 daemons in one failure domain
    And the service "suit-status" with 1 daemon
    And the workspace "blue-reef"
    And the fleet is running

  Scenario: Calls with child calls, many callers at once, and a paused daemon
    Guards against an answer that is delivered to the wrong caller while many
    calls are in flight, or when answers are late after a pause.
    When "blue-reef" calls "van-booking" with a child call to "suit-status" through each daemon
    Then every caller got the whole answer to its own request
    And each of these answers includes a child call that was answered
    When 60 callers of "blue-reef" call an open route of "van-booking" at once through "van-booking-1", "van-booking-2" and "suit-status-1", each with a body of its own
    Then every caller got the whole answer to its own request
    When "blue-reef" sends 30 calls/s to an open route of "van-booking" through "suit-status-1"
    And 1 s pass
    And "van-booking-2" is paused
    And 2 s pass
    And "van-booking-2" is resumed
    And 1 s pass
    And the load ends
    Then every answer is the whole answer to the request of its caller
    And most calls were answered
    And some answers came more than 1 s after their call
    And the upstream of each daemon of "van-booking" saw calls

  Scenario: A truncated answer
    Guards against a truncated answer that is forwarded as a whole one.
    When "blue-reef" calls "van-booking" through each daemon and its answer is truncated
    Then no caller got an answer, each got "answer_truncated"
