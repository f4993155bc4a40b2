Feature: At most once
  A non-idempotent request runs at most once (R9).

  Background:
    Given the service "van-booking" with 3 daemons
    And the workspace "blue-reef"
    And the fleet is running

  Scenario: Owners are paused and killed between a booking and its repeats
    Guards against a booking that runs again at the next owner of its
    partition, or at the old one after a pause.
    When "blue-reef" books once at "van-booking" through "van-booking-1" with one idempotency key
    Then the booking was answered
    When the owner of the booking is paused
    And the booking of "blue-reef" at "van-booking" is repeated elsewhere
    And the owner of the booking is resumed
    And the booking of "blue-reef" at "van-booking" is repeated elsewhere
    And the owner of the booking is killed
    And the booking of "blue-reef" at "van-booking" is repeated elsewhere until another daemon owns it
    Then the upstreams together saw the booking at most once
    And all who booked got the same answer or "unknown"

  Scenario: The log is down and loses answers
    Guards against a second run when records of owners cannot be written to
    the log, or are appended twice because answers of the log are lost.
    When the log loses the answers of the next 3 appends
    And "blue-reef" books once at "van-booking" through "van-booking-1" and "van-booking-2" with one idempotency key
    And the log is down
    And the booking of "blue-reef" at "van-booking" is repeated through "van-booking-3" and "van-booking-1"
    Then the booking was answered
    And the upstreams together saw the booking at most once
    And all who booked got the same answer or "unknown"
