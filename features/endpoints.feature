Feature: Keys are served again after an endpoint is lost or leaves
  The clock is simulated, so no step depends on the speed of the test host.

  Background:
    Given a service with 3 endpoints and 3 entry instances
    And every key is served

  Scenario: An endpoint exits
    When endpoint e0 exits
    Then every key is served again within 3 seconds
    And the keys moved with the proof "process_exited" only
    And no key has two owners

  Scenario: An endpoint freezes and resumes after its lease has expired
    When endpoint e0 freezes
    Then every key is served again within 3 seconds
    And the keys moved with the proof "lease_expired" only
    When 5 seconds pass
    And endpoint e0 resumes
    And 3 seconds pass
    Then endpoint e0 accepts no requests for keys that it does not own
    And every key is served
    And no key has two owners

  Scenario: An endpoint that freezes for less than its lease keeps its keys
    When endpoint e0 freezes
    And 0.5 seconds pass
    And endpoint e0 resumes
    And 3 seconds pass
    Then every key has the owner that it had at the start
    And no key has two owners

  Scenario: An operator drains an endpoint
    When an operator drains endpoint e0
    And 10 seconds pass
    Then endpoint e0 owns no key
    And no key was unserved for longer than a request with 2 seconds left can wait
    And the keys moved with the proof "revoked" only
    And no key has two owners
