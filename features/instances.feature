Feature: Keys stay served, with one owner, when instances exit, freeze or stop

  Background:
    Given 4 endpoints and 5 instances in zones z0, z1
    And every key is served

  Scenario: The instance that renews the leases of an endpoint exits
    When the instance that renews the leases of e0 exits
    And 8 seconds pass
    Then no key was unserved for longer than 0 seconds
    And every key has the owner that it had at the start
    And no key had two owners

  Scenario: The instance that renews the leases of an endpoint freezes and resumes late
    When the instance that renews the leases of e0 freezes
    And 8 seconds pass
    And the frozen instance resumes
    And 5 seconds pass
    Then no key was unserved for longer than 0 seconds
    And every key has the owner that it had at the start
    And no key had two owners

  Scenario: The instance that renews the leases of an endpoint stops as planned
    When the instance that renews the leases of e0 stops as planned
    And 10 seconds pass
    Then no key was unserved for longer than 0 seconds
    And every key has the owner that it had at the start
    And no key had two owners

  Scenario: All instances restart while the store is down
    When the store goes down
    And all instances restart
    And 20 seconds pass
    Then no key had two owners
    When the store is up again
    Then every key is served again within 3 seconds
    And every key has the owner that it had at the start
    And no key had two owners
