Feature: P1 to P3 - no worker is over-committed, no task runs twice, evicted work resumes once

  Background:
    Given a cluster of two regions

  Scenario: two owners of one rack after a pause past the end of the session
    Given the batch document "plates" with processors=2, memory_mb=500, accelerators=1, outage_run_s=5
    And 2 submitters that keep submitting tasks of "plates" that take work_s=0.7
    When 10 more tasks finished
    And the owner of "rack-thies-a-1" is frozen
    And another instance owns "rack-thies-a-1"
    And 5 more tasks finished
    And the former owner is thawed
    And the former owner has a live session again
    And 10 more tasks finished
    And the submitters stop
    Then every accepted task finished exactly once
    And no worker was committed beyond its capacity
    And no task ran in two places at once

  Scenario: the answers to assignments are lost under a stream of submissions
    Given the batch document "plates" with processors=2, memory_mb=500, accelerators=1, outage_run_s=5
    And 4 submitters that keep submitting tasks of "plates" that take work_s=0.5
    When the fault "lose_answers" is set at "table" with probability=0.3, seed=11
    And 30 more tasks finished
    And the fault "ok" is set at "table"
    And the submitters stop
    Then every accepted task finished exactly once
    And no worker was committed beyond its capacity
    And no task ran in two places at once

  Scenario: declared sizes are far too small
    Given the batch document "misjudged" with processors=1, memory_mb=500, outage_run_s=5
    And 2 submitters that keep submitting tasks of "misjudged" that take work_s=1.2, use_processors=4, use_memory_mb=3000
    When later starts of "misjudged" are committed with 4 processors
    And 20 more tasks finished
    And the submitters stop
    Then every accepted task finished exactly once
    And no worker was committed beyond its capacity
    And no task ran in two places at once

  Scenario: a worker returns after a cut with tasks still running, under another owner
    Given the batch document "plates-of-thies" with processors=3, memory_mb=500, zones=thies-a, outage_run_s=5
    And 2 tasks of "plates-of-thies" that take work_s=14
    When 2 tasks run
    And a worker of "rack-thies-a-1" that runs tasks is cut off
    And the owner of "rack-thies-a-1" is killed
    And another instance owns "rack-thies-a-1"
    And 2 more tasks of "plates-of-thies" that take work_s=0.3 are submitted
    And 2 more tasks finished
    And it returns while its tasks still run
    And 8 more tasks of "plates-of-thies" that take work_s=1 are submitted
    Then every accepted task finished exactly once
    And every task ran in a single attempt
    And no worker was committed beyond its capacity
    And no task ran in two places at once

  Scenario: the store is down during a takeover
    Given the batch document "plates" with processors=2, memory_mb=500, accelerators=1, outage_run_s=5
    And 8 tasks of "plates" that take work_s=11
    When 8 tasks run
    And the owner of "rack-thies-a-1" is frozen
    And the fault "down" is set at "table"
    And no instance has a fresh view
    And the fault "ok" is set at "table"
    And another instance owns "rack-thies-a-1"
    And the former owner is thawed
    Then every accepted task finished exactly once
    And no task ran in two places at once
    And no worker was committed beyond its capacity

  Scenario: a zone goes out while the owner of its rack dies
    Given the batch document "plates" with processors=2, memory_mb=500, accelerators=1, outage_run_s=5
    And 8 tasks of "plates" that take work_s=10
    When 8 tasks run
    And the owner of "rack-thies-a-1" is frozen
    And "thies-a" is taken out at any instance
    And another instance owns "rack-thies-a-1"
    And the former owner is thawed
    And no task runs in "thies-a" any more
    Then every accepted task finished exactly once
    And at least 2 tasks were evicted with a checkpoint
    And evicted work resumed exactly once
    And no task ran in two places at once
    And no worker was committed beyond its capacity

  Scenario: checkpoints are stored but their answers are lost, and cancellations cross the evictions
    Given the batch document "plates" with processors=2, memory_mb=500, accelerators=1, outage_run_s=5
    And 8 tasks of "plates" that take work_s=6
    When 8 tasks run
    And the fault "lose_answers" is set at "table" with probability=0.5, seed=12
    And "kaolack-a" is taken out at any instance
    And 2 of the running tasks are cancelled
    And no task runs in "kaolack-a" any more
    And "kaolack-a" is returned at any instance
    And the fault "ok" is set at "table"
    Then every accepted task finished exactly once
    And every cancelled task ended without finishing, or finished once
    And evicted work resumed exactly once
    And no task ran in two places at once
    And no worker was committed beyond its capacity

  Scenario: two evictions cross when two operators take a zone out, in and out at two instances
    Given the batch document "plates" with processors=2, memory_mb=500, accelerators=1, outage_run_s=5
    And 8 tasks of "plates" that take work_s=6
    When 8 tasks run
    And two operators change "kaolack-a" to out, in, out at two instances at once
    And "kaolack-a" is taken out at any instance
    And no task runs in "kaolack-a" any more
    Then every accepted task finished exactly once
    And at least 2 tasks were evicted with a checkpoint
    And evicted work resumed exactly once
    And no task ran in two places at once
    And no worker was committed beyond its capacity

  Scenario: waves of cancellations, and cancellations of running tasks
    Given the batch document "plates" with processors=2, memory_mb=500, accelerators=1, outage_run_s=5
    And 2 submitters that keep submitting tasks of "plates" that take work_s=0.7
    And the batch document "regretted" with processors=2, memory_mb=500, outage_run_s=5
    When 3 waves of 15 tasks of "regretted" are submitted and cancelled
    And 4 more tasks of "regretted" that take work_s=30 are submitted
    And 4 tasks of "regretted" run
    And all running tasks of "regretted" are cancelled
    And 10 more tasks finished
    And the submitters stop
    Then every cancelled task ended without finishing, or finished once
    And no task ran in two places at once
    And no worker was committed beyond its capacity
