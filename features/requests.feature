Feature: Each caller gets one outcome of its request, and the outcome is correct

  Background:
    Given a coordinator with one endpoint that runs 2 requests concurrently

  Scenario: More background requests than the queue holds
    When 200 background requests arrive
    And 5 urgent requests arrive
    And the endpoint completes 10 requests
    Then all urgent requests are answered
    And every request has one outcome and it is correct
    And background requests were shed with the reason "queue_full"

  Scenario: Urgent requests do not starve the others
    When 5 background requests arrive
    And 5 normal requests arrive
    And 40 urgent requests arrive
    And the endpoint completes 20 requests
    Then at least 4 normal requests are answered
    And at least 2 background requests are answered
    And every request has one outcome and it is correct

  Scenario: Urgent requests displace the least urgent requests first
    When 40 background requests arrive
    And 40 urgent requests arrive
    Then only background requests were shed for urgent requests
    And every request has one outcome and it is correct

  Scenario: A request crashes every endpoint that runs it
    When a request "poison" that may be repeated crashes the endpoint
    And a request "poison" that may be repeated crashes the endpoint
    And a request "poison" that may be repeated arrives
    Then the last request is refused as not-run with "crashes_endpoints"
    When a request "harmless" that may be repeated arrives
    And the endpoint completes 1 request
    Then the last request is answered

  Scenario: A connection goes silent
    When a request "swap 1" that may not be repeated is sent and its connection goes silent
    Then the last request is refused as unknown with "progress_timeout"
    And no request that may not be repeated ran twice

  Scenario: A caller sends a request again because the answer was lost
    When a request "swap 1" that may not be repeated is sent and its answer is lost
    Then the last request is refused as unknown with "endpoint_lost"
    When the same request arrives again
    Then the last request is refused as unknown with "endpoint_lost"
    And no request that may not be repeated ran twice

  Scenario: A caller sends a request again while it runs
    When a request "swap 1" that may not be repeated is sent
    And the same request arrives again
    And the endpoint answers
    Then both copies have the same answer
    And no request that may not be repeated ran twice

  Scenario: A request is sent again after the coordinator was replaced
    When a request "swap 1" that may not be repeated is sent
    And the coordinator is replaced by one without its request history
    And the same request arrives again
    Then the last request is refused as unknown with "before_takeover"
    And no request that may not be repeated ran twice

  Scenario: A request is sent again after the coordinator has handed over
    When a request "swap 1" that may not be repeated is sent
    And the coordinator hands over to another one
    And the same request arrives again
    Then the last request is answered
    And no request that may not be repeated ran twice

  Scenario: The deadline passes while the request is queued
    When 2 requests occupy the endpoint
    And a request "swap 1" that may not be repeated arrives with 1 second left
    And 2 seconds pass for the requests
    Then the last request is refused as not-run with "deadline_passed"
    And every request has one outcome and it is correct

  Scenario: The deadline passes while the endpoint runs the request
    When a request "swap 1" that may not be repeated is sent and its deadline passes
    Then the last request is refused as unknown with "deadline_passed_in_flight"
    And no request that may not be repeated ran twice
