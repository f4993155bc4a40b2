Feature: R12 An accepted configuration is in force everywhere and never reverts

  Scenario: Racing operators get one winner everywhere
    Given 5 daemons in 3 failure domains that read the log
    When 6 operators publish at once, each replacing revision 1
    And half of the daemons read the log record by record
    And every daemon reads the log
    Then exactly one of 6 operators is accepted, and the others get a conflict
    And revision 2 is in force everywhere

  Scenario: A lost answer and a repeated publication count once
    Given 5 daemons in 3 failure domains that read the log
    When an operator publishes rate 5 but the answer is lost, and tries again
    And every daemon reads the log
    Then revision 2 is in force everywhere
    And the rate is 5 everywhere

  Scenario: A daemon that starts from a snapshot agrees and never goes back
    Given 5 daemons in 3 failure domains that read the log
    When an operator publishes rate 5 but the answer is lost, and tries again
    And every daemon reads the log
    And a daemon starts from the snapshot of a peer
    And it is offered an older snapshot
    And old records are delivered once more
    Then revision 2 is in force everywhere
    And the rate is 5 everywhere
