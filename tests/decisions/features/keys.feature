Feature: R3 A request runs only for the workspace whose key came with it

  Scenario: Each key stands for one workspace at every daemon
    Given 3 daemons in 3 failure domains that read the log
    Then a call with the key of red runs for red
    And a call with the key of blue runs for blue

  Scenario Outline: Wrong keys are refused
    Given 3 daemons in 3 failure domains that read the log
    Then a call with <presented> is refused

    Examples:
      | presented         |
      | no key            |
      | an unknown key    |
      | an empty key      |
      | the hash of a key |
      | the id of a key   |

  Scenario: A workspace that the document no longer names
    Given 3 daemons in 3 failure domains that read the log
    When operators remove red from the document
    Then no daemon accepts the key of red
    And a call with the key of blue runs for blue

  Scenario: A daemon that may be out of date refuses keys but not open routes
    Given 3 daemons in 3 failure domains that read the log
    When 3.1 s pass and every daemon but the last reads the log
    Then the last daemon refuses a call with a granted key as not run
    And the last daemon accepts a call on an open route
