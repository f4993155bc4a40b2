Feature: A single request crashes each upstream that runs it, and its caller sends it again

  Scenario: A request crashes at most two upstreams
    Given 13 upstreams that a request crashes
    When its caller sends it to each upstream in turn beside other requests
    Then it has crashed 2 upstreams
    And every upstream refuses it as not run

  Scenario: A request that was in flight beside the crashing one is cleared
    Given 13 upstreams that a request crashes
    When its caller sends it to the first upstream beside other requests
    And the other request runs alone without a crash
    Then no upstream suspects the other request

  Scenario: The refusal lasts for almost an hour
    Given 13 upstreams that a request crashes
    When its caller sends it to each upstream in turn beside other requests
    And 59 minutes pass after the crash
    Then every upstream refuses it as not run
    And it has crashed 2 upstreams

  Scenario: A crashing request while daemons are cut off from each other
    Given 3 upstreams that a request crashes
    And the daemons beside them cannot reach each other
    When its caller sends it to each upstream in turn beside other requests
    And the daemons reach each other again
    And its caller sends it to the first upstream beside other requests
    Then it has crashed 4 upstreams
    And every upstream refuses it as not run
