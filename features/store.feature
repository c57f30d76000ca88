Feature: During an outage of the store, keys are served but do not move

  Background:
    Given 4 endpoints and 5 instances in zones z0, z1
    And every key is served

  Scenario: The store is down for ten minutes
    When the store goes down
    And 600 seconds pass
    Then no key was unserved for longer than 0 seconds
    When the store is up again
    And 3 seconds pass
    Then every key has the owner that it had at the start
    And no key had two owners

  Scenario: An instance exits while the store is down
    When the store goes down
    And 2 seconds pass
    And the instance that renews the leases of e0 exits
    And 10 seconds pass
    Then no key moved
    When the store is up again
    Then every key is served again within 3 seconds
    And every key has the owner that it had at the start
    And no key had two owners

  Scenario: An endpoint is lost while the store is down
    When the store goes down
    And 2 seconds pass
    And endpoint e0 exits
    And 10 seconds pass
    Then no key moved
    When the store is up again
    Then every key is served again within 3 seconds
    And endpoint e0 owns no key
    And no key had two owners

  Scenario: Each call to the store takes 5 seconds while an endpoint is lost
    When each call to the store takes 5 seconds
    And endpoint e0 exits
    And 15 seconds pass
    Then every key is served
    And endpoint e0 owns no key
    And no key had two owners

  Scenario: The store applies writes but its answers are lost
    When the answers of the store are lost
    And endpoint e0 exits
    Then every key is served again within 4.2 seconds
    And no key moved more than once
    And no key had two owners
