Feature: R1 Retries for one request stay bounded across the whole call chain

  Scenario Outline: A chain of 12 services spends its allowance once
    Given a call graph 12 deep in which each service makes 1 calls
    And the service at depth <depth> refuses as not run
    When a caller sends a request with <total> retries
    Then the whole graph makes exactly <total> retries

    Examples:
      | depth | total |
      | 1     | 2     |
      | 6     | 2     |
      | 12    | 0     |
      | 12    | 1     |
      | 12    | 2     |
      | 12    | 5     |

  Scenario Outline: Parallel calls share one allowance
    Given a call graph 5 deep in which each service makes 3 calls
    And the service at depth <depth> refuses as not run
    When a caller sends a request with <total> retries
    Then the whole graph makes at most <total> retries

    Examples:
      | depth | total |
      | 2     | 2     |
      | 5     | 2     |
      | 5     | 5     |

  Scenario: Without a shared allowance retries multiply at each hop
    Given a call graph 12 deep in which each service makes 1 calls
    And the service at depth 12 refuses as not run
    And each hop retries 1 times on its own
    When a caller sends a request with 2 retries
    Then the whole graph makes 8190 attempts

  Scenario: A shed call deep in the chain is retried once
    Given a call graph 12 deep in which each service makes 1 calls
    And the service at depth 12 sheds load
    When a caller sends a request with 5 retries
    Then the whole graph makes exactly 1 retries

  Scenario: Retries to a failing service stay within its budget
    Given a call graph 1 deep in which each service makes 1 calls
    And the service at depth 1 refuses as not run
    When callers send 2000 requests with 2 retries each
    Then retries are at most 10% of calls beside a reserve of 10
