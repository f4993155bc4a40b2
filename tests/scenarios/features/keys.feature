Feature: Keys
  A request runs only for the workspace whose key came with it, a withdrawn
  key stops working within 3 s, and no upstream sees a key (R3, R4, R5).

  Scenario: A withdrawn key with a daemon cut off from the log
    Guards against a withdrawn key that is still accepted on open connections
    or by a daemon that cannot read the log, and against keys that are sent
    to upstreams or written to the output of a process.
    Given the service "van-booking" with 3 daemons
    And "van-booking-3" reaches the log through a relay
    And the workspace "blue-reef"
    And the workspace "deep-divers"
    And the fleet is running
    When "blue-reef" stays connected to each daemon
    And "van-booking-3" is cut off from the log
    And the key of "blue-reef" is withdrawn at "van-booking-1"
    Then within 3 s no connected caller gets an answer any more
    And no upstream saw a key
    And no process wrote a key

  Scenario: Wrong and missing keys
    Guards against a request that runs for a caller without a valid key.
    Given the service "van-booking" with 2 daemons
    And the workspace "blue-reef"
    And the fleet is running
    When a caller shows a wrong key to each daemon
    Then every call is refused as not run for "key_unknown"
    When a caller shows no key to each daemon
    Then every call is refused as not run for "key_missing"
    When "blue-reef" calls "van-booking" through each daemon
    Then every caller got the whole answer to its own request
    And no upstream saw a key
    And no process wrote a key
