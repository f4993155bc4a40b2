Feature: Operators publish conflicting changes at once

  Scenario Outline: One of many is accepted
    Given 5 daemons in 3 failure domains that read the log
    When <count> operators publish at once, each replacing revision 1
    And every daemon reads the log
    Then exactly one of <count> operators is accepted, and the others get a conflict

    Examples:
      | count |
      | 2     |
      | 20    |

  Scenario: Operators race while a daemon starts from a snapshot
    Given 5 daemons in 3 failure domains that read the log
    When a daemon starts from the snapshot of a peer
    And 6 operators publish at once, each replacing revision 1
    And every daemon reads the log
    Then exactly one of 6 operators is accepted, and the others get a conflict
    And revision 2 is in force everywhere
