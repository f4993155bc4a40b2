Feature: Each workspace gets its fair share under overload

  Scenario Outline: A large workspace does not crowd out the small ones
    Given an upstream with <slots> slots
    And <load> times its capacity, of which one workspace sends ten times as much as each of 7 others
    When 15 seconds pass at the upstream
    Then the worst-served workspace gets at least 0.9 of its fair share from second 3 to second 15

    Examples:
      | slots | load |
      | 15    | 2    |
      | 15    | 4    |
