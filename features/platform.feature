Feature: During an outage of the platform, keys are served but do not move

  Background:
    Given a service with 3 endpoints and 3 entry instances
    And every key is served

  Scenario: The platform is down for ten minutes
    When the platform goes down
    And 600 seconds pass
    Then no key was unserved for longer than 0 seconds
    When the platform is up again
    And 3 seconds pass
    Then every key has the owner that it had at the start
    And no key has two owners

  Scenario: A coordinator exits while the platform is down
    When the platform goes down
    And the coordinator of e0 exits
    Then every key is served again within 3 seconds
    And every key has the owner that it had at the start
    And no key has two owners

  Scenario: An endpoint is lost while the platform is down
    When the platform goes down
    And endpoint e0 exits
    And 10 seconds pass
    Then every key has the owner that it had at the start
    When the platform is up again
    Then every key is served again within 3 seconds
    And no key has two owners

  Scenario: The platform takes 5 seconds for each write while an endpoint is lost
    When each platform write takes 5 seconds
    And endpoint e0 exits
    And 15 seconds pass
    Then every key is served
    And no key has two owners

  Scenario: The platform applies updates but its answers are lost
    When the answers of the platform are lost
    And endpoint e0 exits
    And 5 seconds pass
    Then every key is served
    And no unit changed its owner more than once
    And no key has two owners
