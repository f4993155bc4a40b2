Feature: Configuration
  An accepted configuration is in force everywhere within 11 s and never
  reverts (R12).

  Background:
    Given the service "van-booking" with 3 daemons
    And the workspace "blue-reef"
    And the fleet is running

  Scenario: Conflicting, repeated and bad publications
    Guards against daemons that disagree about which of two concurrent
    publications is in force, an append that is applied twice because its
    answer was lost, and an invalid document that replaces a valid one.
    When operators publish a revision of "van-booking" each at "van-booking-1" and "van-booking-2" at once
    Then one publication is accepted and the other is a conflict
    And within 11 s every daemon has revision 2 of "van-booking" in force
    When the log loses the answers of the next 1 appends
    And an operator publishes a revision of "van-booking" at "van-booking-3"
    Then the publication is accepted
    And within 11 s every daemon has revision 3 of "van-booking" in force
    When an operator publishes a bad document of "van-booking" at "van-booking-1"
    Then the document is refused
    When a bad document of "van-booking" is in the log nevertheless
    Then within 11 s every daemon has revision 3 of "van-booking" in force
    And calls of "blue-reef" to "van-booking" are answered again

  Scenario: A daemon starts while the log is down
    Guards against a new daemon that serves without the documents in force, or
    reverts to older ones when the log is available again.
    When an operator publishes a revision of "van-booking" at "van-booking-1"
    Then within 11 s every daemon has revision 2 of "van-booking" in force
    When the log is down
    And the VM of "van-booking-3" is lost
    And the VM of "van-booking-3" is replaced
    Then within 11 s every daemon has revision 2 of "van-booking" in force
    And calls of "blue-reef" to "van-booking" are answered again
    When the log works again
    Then "van-booking-3" keeps revision 2 of "van-booking" for 3 s
