Feature: HTTP
  A refusal carries problem details with its reason and whether the request
  ran, and increments the counter of its reason.

  Scenario: Requests that cannot be served
    Guards against a request that hangs, a connection that is closed without
    an answer, and a refusal without a reason.
    Given the service "van-booking" with 1 daemon
    And the workspace "blue-reef"
    And the daemons send their counters to a listener
    And the fleet is running
    When callers of "van-booking-1" send these requests, each is refused:
      | request                         | status | reason            | run     |
      | malformed HTTP                  | 400    | malformed_request | not-run |
      | headers of 20 KB                | 431    | headers_too_large | not-run |
      | a body of 1 MiB and a byte      | 413    | body_too_large    | not-run |
      | a body that never ends          | 408    | body_timeout      | not-run |
      | a timeout that is no number     | 400    | invalid_timeout   | not-run |
      | an unknown service              | 404    | unknown_service   | not-run |
      | an unknown route                | 404    | unknown_route     | not-run |
      | a call longer than its deadline | 504    | deadline_exceeded | unknown |
    Then each of these reasons was counted by a counter of its own

  Scenario: A caller that does not finish its headers
    Guards against a connection that a slow caller keeps open indefinitely.
    Given the service "van-booking" with 1 daemon
    And the workspace "blue-reef"
    And the daemons send their counters to a listener
    And the fleet is running
    When callers of "van-booking-1" send these requests, each is refused:
      | request                | status | reason          | run     |
      | headers that never end | 408    | headers_timeout | not-run |
    Then each of these reasons was counted by a counter of its own
