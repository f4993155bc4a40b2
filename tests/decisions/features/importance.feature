Feature: R2 Under load shedding, important requests are shed last

  Scenario Outline: The least important requests are shed first
    Given an upstream with <slots> slots
    And from second 3 to second 10, <load> times its capacity in equal parts of critical, high, normal and low requests
    When 10 seconds pass at the upstream
    Then more than 90% of critical requests are served
    And a class is served better the more important it is, except for calls that started before any had to wait

    Examples:
      | slots | load |
      | 15    | 2.4  |
      | 15    | 3.2  |

  Scenario: Importance holds while the upstream is slow
    Given an upstream with 15 slots
    And from second 3 to second 12, 1.6 times its capacity in equal parts of critical, high, normal and low requests
    And its calls take 2 times as long from second 5 to second 12
    When 12 seconds pass at the upstream
    Then more than 90% of critical requests are served
    And a class is served better the more important it is, except for calls that started before any had to wait
