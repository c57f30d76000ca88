Feature: Keys are served again after an endpoint is lost or leaves
  The clock is simulated, so no step depends on the speed of the test host. A key is
  served while an endpoint holds a lease for it.

  Background:
    Given 4 endpoints and 5 instances in zones z0, z1
    And every key is served

  Scenario: An endpoint exits
    When endpoint e0 exits
    Then every key is served again within 4.2 seconds
    And endpoint e0 owns no key
    And no key moved between the other endpoints
    And no key had two owners

  Scenario: An endpoint freezes and resumes after its lease has expired
    When endpoint e0 freezes and its entry vanishes
    Then every key is served again within 4.2 seconds
    When 5 seconds pass
    And endpoint e0 resumes and is listed again
    And 3 seconds pass
    Then every key is served
    And no key had two owners

  Scenario: An endpoint that freezes for less than its lease keeps its keys
    When endpoint e0 freezes
    And 0.5 seconds pass
    And endpoint e0 resumes
    And 3 seconds pass
    Then every key has the owner that it had at the start
    And no key was unserved for longer than 0 seconds
    And no key had two owners

  Scenario: An endpoint drains
    When endpoint e0 drains
    And 10 seconds pass
    Then endpoint e0 owns no key
    And no key was unserved for longer than a request waits
    And no key moved between the other endpoints
    And no key had two owners
