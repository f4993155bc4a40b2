Feature: R6 No workspace gets more than its rate and burst across all VMs together

  Scenario: A workspace sends three times its rate to all daemons
    Given a workspace that may send 100 requests per second and 100 at once, over 6 daemons
    When it sends 300 requests per second for 10 seconds
    Then no window of time holds more than its rate and burst

  Scenario: A workspace within its rate is not refused
    Given a workspace that may send 100 requests per second and 100 at once, over 6 daemons
    When it sends 80 requests per second for 30 seconds
    Then no window of time holds more than its rate and burst
    And at most 1 in 1000 of the requests within its rate is refused

  Scenario: Messages are lost, doubled and late
    Given a workspace that may send 100 requests per second and 100 at once, over 6 daemons
    And messages are lost, duplicated and delayed
    When it sends 300 requests per second for 10 seconds
    Then no window of time holds more than its rate and burst

  Scenario: Operators lower the limit while messages are lost
    Given a workspace that may send 100 requests per second and 100 at once, over 6 daemons
    And messages are lost, duplicated and delayed
    When after 4 seconds operators lower the limit to 20 per second
    And it sends 300 requests per second for 10 seconds
    Then no window of time holds more than its rate and burst

  Scenario Outline: Faults of every kind at once
    When faults of every kind strike a fleet with seed <seed>
    Then no workspace gets more than its rate and burst
    And every request gets exactly one verdict

    Examples:
      | seed |
      | 101  |
      | 102  |
      | 103  |
