Feature: P8 - a leaving upstream gets no new work after a few seconds

  Scenario: the worker says that it leaves while the list lags, then returns under the same address
    Given a cluster of 3 entry instances and 3 workers whose list lags 20 seconds
    And the service "proofs" runs on 3 workers
    And 10 callers send POST requests to "proofs" with work_ms=5
    When 100 more requests were answered
    And the worker "worker-thies-a-1-3" announces that it leaves
    Then requests to "worker-thies-a-1-3" come to an end
    When the worker "worker-thies-a-1-3" is back in service
    Then requests reach "worker-thies-a-1-3" again
    When the callers stop
    Then no caller saw a broken answer
    And no request that must not be repeated ran twice

  Scenario: the worker says that it leaves while the list is down
    Given a cluster of 3 entry instances and 3 workers whose list lags 20 seconds
    And the service "proofs" runs on 3 workers
    And 10 callers send POST requests to "proofs" with work_ms=5
    When the fault "down" is set at "members"
    And 100 more requests were answered
    And the worker "worker-thies-a-1-2" announces that it leaves
    Then requests to "worker-thies-a-1-2" come to an end
    When the callers stop
    Then no caller saw a broken answer
    And no request that must not be repeated ran twice

  Scenario: the rack's owner is frozen when the worker leaves
    Given a cluster of 3 entry instances and 3 workers whose list lags 20 seconds
    And the service "proofs" runs on 3 workers
    And 10 callers send POST requests to "proofs" with work_ms=5, deadline_ms=2000, timeout_s=3
    When 100 more requests were answered
    And the owner of the rack is frozen
    And the worker "worker-thies-a-1-3" announces that it leaves
    Then requests to "worker-thies-a-1-3" come to an end
    When the callers give up on frozen instances and stop
    Then no request that must not be repeated ran twice
    And every answer belongs to the request it was given for and is complete

  Scenario: only the list says that the worker leaves
    Given a cluster of 3 entry instances and 2 workers
    And the service "proofs" runs on 2 workers
    And 10 callers send POST requests to "proofs" with work_ms=5
    When 100 more requests were answered
    And the list shows "worker-thies-a-1-1" as leaving
    Then requests to "worker-thies-a-1-1" come to an end
    When the worker "worker-thies-a-1-1" is back in service
    Then requests reach "worker-thies-a-1-1" again
    When the callers stop
    Then no caller saw a broken answer
