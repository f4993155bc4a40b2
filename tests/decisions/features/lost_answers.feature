Feature: The log's answers are lost after the operation has taken effect

  Scenario: A late repeat does not undo a newer document
    Given 5 daemons in 3 failure domains that read the log
    When an operator publishes rate 5 but the answer is lost, and tries again
    And another operator publishes rate 6, replacing revision 2
    And the first operator tries once more
    And every daemon reads the log
    Then both operators are told that they were accepted
    And revision 3 is in force everywhere
    And the rate is 6 everywhere

  Scenario: A lost answer while operators race
    Given 5 daemons in 3 failure domains that read the log
    When an operator publishes rate 5 but the answer is lost, and tries again
    And 3 operators publish at once, each replacing revision 1
    And every daemon reads the log
    Then revision 2 is in force everywhere
    And the rate is 5 everywhere
