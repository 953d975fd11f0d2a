Feature: Beyond the promises - faults that must neither block, lose nor double other work

  Background:
    Given a cluster of two regions
    And the batch document "plates" with processors=2, memory_mb=500, accelerators=1, outage_run_s=5

  Scenario: a job that can never run is refused at once and blocks nobody
    Given the batch document "giant" with processors=64, memory_mb=500, outage_run_s=5
    And 2 submitters that keep submitting tasks of "plates" that take work_s=0.3
    When 4 more tasks of "giant" that take work_s=1 are submitted
    And 10 more tasks finished
    And the submitters stop
    Then a task of "giant" was refused at once as too large
    And no task of "giant" ever started
    And every accepted task finished exactly once

  Scenario: a worker that fails everything does not swallow the queue
    Given the batch document "plates-of-thies" with processors=3, memory_mb=500, zones=thies-a, outage_run_s=5
    When the fault "fail_tasks" is set at "worker-thies-a-1-1"
    And 30 more tasks of "plates-of-thies" that take work_s=0.5 are submitted
    Then every accepted task finished exactly once
    And "worker-thies-a-1-1" started at most 8 of the tasks
    And no task ran in two places at once

  Scenario: the store is down for 20 s
    Given the batch document "patient" with processors=2, memory_mb=500, outage_run_s=60
    And 6 tasks of "patient" that take work_s=25
    And 2 submitters that keep submitting tasks of "plates" that take work_s=0.5
    When 6 tasks run
    And 5 more tasks finished
    And the store is down until the running tasks of "patient" have renewed their leases for 20 s
    And the submitters stop
    Then every accepted task finished exactly once
    And no task ran in two places at once
    And no worker was committed beyond its capacity

  Scenario: owner killed and worker cut off, and the worker returns later
    Given the batch document "plates-to-resume" with processors=3, memory_mb=500, zones=thies-a, outage_run_s=1
    And 2 tasks of "plates-to-resume" that take work_s=18
    When 2 tasks run
    And a worker of "rack-thies-a-1" that runs tasks is cut off
    And the owner of "rack-thies-a-1" is killed
    And another instance owns "rack-thies-a-1"
    And its leases have expired
    And its tasks run elsewhere
    And it returns
    Then every accepted task finished exactly once
    And no task ran in two places at once
    And no worker was committed beyond its capacity

  Scenario: a worker is cut off but alive
    Given the batch document "plates-to-resume" with processors=3, memory_mb=500, zones=thies-a, outage_run_s=1
    And 2 tasks of "plates-to-resume" that take work_s=18
    When 2 tasks run
    And a worker of "rack-thies-a-1" that runs tasks is cut off
    And its leases have expired
    And its tasks run elsewhere
    And it returns
    Then every accepted task finished exactly once
    And evicted work resumed exactly once
    And no task ran in two places at once
    And no worker was committed beyond its capacity
