Feature: No key gets a second owner when entry instances exit, freeze or stop

  Scenario: The coordinator of an endpoint that checks tokens exits
    Given a service with 3 endpoints and 3 entry instances
    And every key is served
    When the coordinator of e0 exits
    Then every key is served again within 3 seconds
    And every key has the owner that it had at the start
    And no key has two owners

  Scenario: The coordinator of an endpoint that checks no tokens exits
    Given a service with 3 endpoints that check no tokens and 3 entry instances
    And every key is served
    When the coordinator of e0 exits
    Then every key is served again within 3 seconds
    And every key has the owner that it had at the start
    And no key has two owners

  Scenario: The coordinator of an endpoint that checks tokens freezes and resumes late
    Given a service with 3 endpoints and 3 entry instances
    And every key is served
    When the coordinator of e0 freezes
    Then every key is served again within 3 seconds
    When 5 seconds pass
    And the frozen coordinator resumes
    And 3 seconds pass
    Then every key is served
    And e0 has one dispatching instance
    And no key has two owners

  Scenario: The coordinator of an endpoint that checks no tokens freezes and resumes late
    Given a service with 3 endpoints that check no tokens and 3 entry instances
    And every key is served
    When the coordinator of e0 freezes
    And 10 seconds pass
    Then no other instance dispatches to e0
    When the frozen coordinator resumes
    Then every key is served again within 3 seconds
    And every key has the owner that it had at the start
    And no key has two owners

  Scenario: An entry instance stops gracefully
    Given a service with 3 endpoints and 3 entry instances
    And every key is served
    When the coordinator of e0 is stopped gracefully
    And 5 seconds pass
    Then the stopped instance coordinates no endpoint
    And no key was unserved for longer than a request with 2 seconds left can wait
    And every key has the owner that it had at the start
    And no key has two owners

  Scenario: All entry instances restart while the platform is down
    Given a service with 3 endpoints and 3 entry instances
    And every key is served
    When the platform goes down
    And all entry instances restart
    And 20 seconds pass
    Then no key has two owners
    When the platform is up again
    Then every key is served again within 3 seconds
    And every key has the owner that it had at the start
    And no key has two owners
