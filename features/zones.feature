Feature: An availability zone that is cut off keeps its keys and serves them

  Background:
    Given a service with 4 endpoints in zones a, b and entry instances
      | instance | zone |
      | a-1      | a    |
      | a-2      | a    |
      | b-1      | b    |
      | b-2      | b    |
    And every key is served

  Scenario: Zone b is cut off from zone a and from the platform
    When zone b is cut off
    And 60 seconds pass
    Then no key was unserved for longer than 0 seconds
    And every key has the owner that it had at the start
    When the zones are connected again
    And 3 seconds pass
    Then every key is served
    And every key has the owner that it had at the start
    And no key has two owners

  Scenario: Zone b is lost, and an operator declares it lost
    When zone b is lost
    And 10 seconds pass
    And an operator declares zone b lost
    Then every key is served again within 3 seconds
    And the keys moved with the proof "operator_declared" only
    And no key has two owners
