Feature: P6 and P7 - "not run" is true, and a request that must not be repeated runs at most once

  Background:
    Given a cluster of 3 entry instances and 2 workers
    And the service "proofs" runs on 2 workers

  Scenario: workers close the connection after reading, without and with running the request
    Given 10 callers send POST requests to "proofs" with work_ms=5
    And 6 callers send keyed requests to "proofs" and retry them through other instances with work_ms=5
    When the fault "close_after_read" is set at "worker-thies-a-1-1" with executed=false, probability=0.4, seed=4
    And the fault "close_after_read" is set at "worker-thies-a-1-2" with executed=true, probability=0.4, seed=5
    And the fault "wrong_id" is set at every worker with probability=0.1, seed=6
    And 300 more requests ended
    And the callers stop
    Then at least 100 requests were answered
    And nothing that was refused as not run has run
    And some requests failed with an unknown outcome after they had run
    And no request that must not be repeated ran twice
    And every answered request ran

  Scenario: workers can't be reached, refuse, reset and hang
    Given 10 callers send POST requests to "proofs" with work_ms=5, deadline_ms=1500
    And 6 callers send keyed requests to "proofs" and retry them through other instances with work_ms=5, deadline_ms=1500
    When 50 more requests were answered
    And the route "data:worker-thies-a-1-1" refuses connections
    And the route "data:worker-thies-a-1-2" refuses connections
    And 40 more requests were refused as not_run
    And the route "data:worker-thies-a-1-1" is healed
    And the route "data:worker-thies-a-1-2" is healed
    And 100 more requests were answered
    And the fault "refuse" is set at every worker
    And 30 more requests were refused as unknown
    And the fault "ok" is set at every worker
    And 100 more requests were answered
    And the route "data:worker-thies-a-1-2" is cut
    And 10 more requests were refused as unknown
    And the route "data:worker-thies-a-1-2" is healed
    And 100 more requests were answered
    And the callers stop
    Then nothing that was refused as not run has run
    And no request that must not be repeated ran twice
    And every answer belongs to the request it was given for and is complete

  Scenario: more callers than slots and short deadlines
    Given 60 callers send POST requests to "proofs" with work_ms=300, deadline_ms=500
    When 400 more requests ended
    And the callers stop
    Then at least 20 requests were answered
    And at least 20 requests were refused as not_run
    And nothing that was refused as not run has run
    And no request that must not be repeated ran twice

  Scenario: a worker dies and returns
    Given 12 callers send POST requests to "proofs" with work_ms=200, deadline_ms=3000
    And 6 callers send keyed requests to "proofs" and retry them through other instances with work_ms=200, deadline_ms=3000
    When 50 more requests were answered
    And "worker-thies-a-1-1" is killed while it runs a request
    And 100 more requests were answered
    And "worker-thies-a-1-1" is started again
    And 50 more requests were answered
    And the callers stop
    Then nothing that was refused as not run has run
    And some requests failed with an unknown outcome after they had run
    And no request that must not be repeated ran twice
    And every answer belongs to the request it was given for and is complete

  Scenario: instances are killed while callers retry their keyed requests elsewhere
    Given 16 callers send keyed requests to "proofs" and retry them through other instances with work_ms=60
    When 50 more requests were answered
    And "entry-thies-a-1" is killed
    And 100 more requests were answered
    And "entry-thies-a-1" is started again
    And "entry-thies-a-2" is killed
    And 100 more requests were answered
    And "entry-thies-a-2" is started again
    And "entry-thies-a-3" is killed
    And 100 more requests were answered
    And the callers stop
    Then nothing that was refused as not run has run
    And some requests failed with an unknown outcome after they had run
    And no request that must not be repeated ran twice
    And every answer belongs to the request it was given for and is complete

  Scenario: the store loses answers, then is down, while keyed requests come
    Given 8 callers send keyed requests to "proofs" and retry them through other instances with work_ms=5
    And 4 callers send POST requests to "proofs" with work_ms=5
    When the fault "lose_answers" is set at "table" with probability=0.3, seed=7
    And 150 more requests ended
    And the fault "down" is set at "table"
    And 100 more requests were refused
    And the fault "ok" is set at "table"
    And 100 more requests were answered
    And the callers stop
    Then at least 20 requests were refused as not_run
    And nothing that was refused as not run has run
    And no request that must not be repeated ran twice
    And every answer belongs to the request it was given for and is complete

  Scenario: one instance is cut off from the store while keyed requests come
    Given 8 callers send keyed requests to "proofs" and retry them through other instances with work_ms=5
    When 50 more requests were answered
    And the route "store:entry-thies-a-1" is cut
    And 150 more requests were answered
    And the route "store:entry-thies-a-1" is healed
    And 100 more requests were answered
    And the callers stop
    Then no request that must not be repeated ran twice
    And every answer belongs to the request it was given for and is complete

  Scenario: a key is used again, with the same and with another body
    When a caller sends the body "first" under a new key to "proofs"
    And a caller sends the body "first" under the same key to "proofs"
    Then the last caller has the answer to the first body
    When a caller sends the body "second" under the same key to "proofs"
    Then the last caller is refused with status 422
    And no request that must not be repeated ran twice
