Feature: P5 - every caller gets the complete answer to its own request

  Background:
    Given a cluster of 3 entry instances and 2 workers
    And the service "proofs" runs on 2 workers

  Scenario: workers truncate answers
    Given 12 callers send POST requests to "proofs" with work_ms=5
    When the fault "truncate" is set at every worker with probability=0.3, seed=1
    And 300 more requests ended
    And the callers stop
    Then at least 100 requests were answered
    And every answer belongs to the request it was given for and is complete
    And some requests failed with an unknown outcome after they had run
    And no request that must not be repeated ran twice

  Scenario: workers answer too late
    Given 12 callers send POST requests to "proofs" with work_ms=5, deadline_ms=400
    When the fault "late" is set at every worker with probability=0.3, delay_ms=600, seed=2
    And 200 more requests ended
    And the callers stop
    Then at least 50 requests were answered
    And every answer belongs to the request it was given for and is complete
    And some requests failed with an unknown outcome after they had run
    And no request that must not be repeated ran twice

  Scenario: workers answer another request
    Given 12 callers send POST requests to "proofs" with work_ms=5
    When the fault "wrong_id" is set at every worker with probability=0.3, seed=3
    And 300 more requests ended
    And the callers stop
    Then at least 100 requests were answered
    And every answer belongs to the request it was given for and is complete
    And some requests failed with an unknown outcome after they had run

  Scenario: an instance dies while slow callers read its answers
    Given 6 callers send POST requests to "proofs" with work_ms=5, answer_bytes=200000
    When a slow caller asks "entry-thies-a-2" for an answer of 8000000 bytes from "proofs" and reads 10000 bytes
    And a slow caller asks "entry-thies-a-2" for an answer of 8000000 bytes from "proofs" and reads 500000 bytes
    And "entry-thies-a-2" is killed
    And the slow callers read on to the end
    And 100 more requests were answered
    And the callers stop
    Then every slow caller sees that its answer is broken
    And every answer belongs to the request it was given for and is complete

  Scenario: slow callers get their answers whole
    Given 6 callers send POST requests to "proofs" with work_ms=5, answer_bytes=200000
    When a slow caller asks "entry-thies-a-1" for an answer of 8000000 bytes from "proofs" and reads 10000 bytes
    And 100 more requests were answered
    And the slow callers read on to the end
    And the callers stop
    Then every slow caller has its complete answer
    And every answer belongs to the request it was given for and is complete
