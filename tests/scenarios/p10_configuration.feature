Feature: P10 - an accepted configuration is in force everywhere and never reverts

  Background:
    Given a cluster of two regions
    And the batch document "contested" with processors=1, memory_mb=500, outage_run_s=5
    And 6 operators race to change the document "contested"

  Scenario: answers of the store are lost
    When 20 more changes were accepted
    And the fault "lose_answers" is set at "table" with probability=0.3, seed=13
    And 30 more changes were accepted
    And the fault "ok" is set at "table"
    And the operators stop
    Then exactly one operator won each revision
    And every instance shows the last accepted revision or a later one
    And no instance ever showed an earlier revision than before
    And every fresh instance showed each accepted revision, the slowest is printed

  Scenario: one instance is frozen, one is restarted and one is cut off from the store
    When 10 more changes were accepted
    And "entry-thies-a-2" is frozen
    And 10 more changes were accepted
    And the route "store:entry-kaolack-a-1" is cut
    And "entry-kaolack-a-1" can no longer confirm its view
    And 10 more changes were accepted
    And "entry-thies-a-2" is thawed
    And 10 more changes were accepted
    And the route "store:entry-kaolack-a-1" is healed
    And 10 more changes were accepted
    And "entry-thies-a-1" is killed
    And 10 more changes were accepted
    And "entry-thies-a-1" is started again
    And 20 more changes were accepted
    And the operators stop
    Then exactly one operator won each revision
    And every instance shows the last accepted revision or a later one
    And no instance ever showed an earlier revision than before
    And every fresh instance showed each accepted revision, the slowest is printed
