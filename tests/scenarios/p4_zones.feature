Feature: P4 - no task starts in a zone later than 3 s after operators took it out

  Background:
    Given a cluster of two regions
    And the batch document "plates-of-thies" with processors=1, memory_mb=500, zones=thies-a, outage_run_s=5
    And the batch document "plates-of-kaolack" with processors=1, memory_mb=500, zones=kaolack-a, outage_run_s=5
    And 2 submitters that keep submitting tasks of "plates-of-thies" that take work_s=0.3
    And 3 submitters that keep submitting tasks of "plates-of-kaolack" that take work_s=0.3

  Scenario: an instance of the other region is cut off from the store
    When 10 more tasks finished
    And the route "store:entry-kaolack-a-1" is cut
    And "kaolack-a" is taken out at "entry-thies-a-1"
    And 10 tasks of "plates-of-thies" started after the bound for "kaolack-a"
    And the route "store:entry-kaolack-a-1" is healed
    And 10 more starts of "plates-of-thies" were recorded
    And "kaolack-a" is returned at any instance
    And tasks of "plates-of-kaolack" start in "kaolack-a" again
    And the submitters stop
    Then no task started in "kaolack-a" from 3 s after it was out until it was in
    And every accepted task finished exactly once

  Scenario: the owner in the other region has a slow path to the store
    When 10 more tasks finished
    And the path of "entry-kaolack-a-1" to the store takes 900 ms each way
    And "kaolack-a" is taken out at "entry-thies-a-1"
    And 10 tasks of "plates-of-thies" started after the bound for "kaolack-a"
    And the path of "entry-kaolack-a-1" to the store takes 0 ms each way
    And "kaolack-a" is returned at any instance
    And tasks of "plates-of-kaolack" start in "kaolack-a" again
    And the submitters stop
    Then no task started in "kaolack-a" from 3 s after it was out until it was in
    And every accepted task finished exactly once

  Scenario: the store is slow
    When 10 more tasks finished
    And the fault "slow" is set at "table" with delay_ms=1000
    And "kaolack-a" is taken out at "entry-thies-a-2"
    And 5 tasks of "plates-of-thies" started after the bound for "kaolack-a"
    And the fault "ok" is set at "table"
    And "kaolack-a" is returned at any instance
    And tasks of "plates-of-kaolack" start in "kaolack-a" again
    And the submitters stop
    Then no task started in "kaolack-a" from 3 s after it was out until it was in
    And every accepted task finished exactly once

  Scenario: a zone is taken out provisionally during a store outage
    When 10 more tasks finished
    And the fault "down" is set at "table"
    And "kaolack-a" is taken out provisionally at "entry-thies-a-1"
    And no instance has a fresh view
    And the fault "ok" is set at "table"
    And every instance shows "kaolack-a" as durably out
    And 10 tasks of "plates-of-thies" started after the bound for "kaolack-a"
    And "kaolack-a" is returned at any instance
    And tasks of "plates-of-kaolack" start in "kaolack-a" again
    And the submitters stop
    Then no task started in "kaolack-a" from 3 s after it was out until it was in
    And every accepted task finished exactly once

  Scenario: two operators race each other with out, in and out
    When 10 more tasks finished
    And two operators change "kaolack-a" to out, in, out at two instances at once
    And "kaolack-a" is taken out at any instance
    And 10 tasks of "plates-of-thies" started after the bound for "kaolack-a"
    And "kaolack-a" is returned at any instance
    And tasks of "plates-of-kaolack" start in "kaolack-a" again
    And the submitters stop
    Then no task started in "kaolack-a" from 3 s after it was out until it was in
    And every accepted task finished exactly once

  Scenario: the owner of the zone's rack is frozen until just after the bound, within its session
    When 10 more tasks finished
    And "kaolack-a" goes out 3 times while the owner of "rack-kaolack-a-1" is frozen until the bound
    And "kaolack-a" is returned at any instance
    And tasks of "plates-of-kaolack" start in "kaolack-a" again
    And the submitters stop
    Then no task started in "kaolack-a" from 3 s after it was out until it was in
    And every accepted task finished exactly once
