Feature: A zone that is cut off gives none of its keys a second owner

  Scenario: Zone z1 is cut off from zone z0 and from the store
    Given 4 endpoints and 5 instances in zones z0, z1
    And every key is served
    When zone z1 is cut off
    And 60 seconds pass
    Then the keys of zone z0 were never unserved
    And no key had two owners
    When the zones are connected again
    Then every key is served again within 3 seconds
    And no key had two owners
