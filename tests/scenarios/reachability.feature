Feature: Reachability
  Every offered model keeps a ready copy during moves, version changes and planned
  departures of runners. A model that lost its last copy is loaded first.

  Background:
    Given the models
      | model    | memory_mb | floor |
      | escort   | 40        | 2     |
      | slips    | 30        | 1     |
      | policy   | 20        | 1     |
    And 3 runners of 150 MB that check fences
    And an active controller

  Scenario: A runner crashes and restarts without models
    When runner 0 restarts without models
    And 40 seconds pass
    Then every model has its floor
    And no runner ever exceeded its memory size

  Scenario: A runner leaves as planned
    When runner 0 leaves
    And 60 seconds pass
    Then every model has its floor without runner 0
    And every model had a ready copy all the time

  Scenario: Two runners leave, one after the other
    When runner 0 leaves
    And 60 seconds pass
    And runner 0 no longer leaves
    And runner 1 leaves
    And 60 seconds pass
    Then every model has its floor without runner 1
    And every model had a ready copy all the time

  Scenario: A version is replaced under demand
    When the demand for model escort is high
    And model escort changes to version 2
    And 90 seconds pass
    Then every model has its floor
    And every model had a ready copy all the time

  Scenario: The controller is paused and another takes over
    When controller 0 is paused
    And runner 1 restarts without models
    And a second controller takes over
    And 60 seconds pass
    Then every model has its floor

  Scenario: A model with high demand gets more copies and the others keep theirs
    When the demand for model escort is high
    And 120 seconds pass
    Then model escort has 3 ready copies
    And every model has its floor
    And every model had a ready copy all the time

  Scenario: A runner crashes while the key-value service is down
    When the key-value service is down
    And runner 0 restarts without models
    And 30 seconds pass
    And the key-value service is up
    And 40 seconds pass
    Then every model has its floor
    And no runner ever exceeded its memory size

  Scenario: A runner crashes while another leaves and orders are lost
    When runner 0 leaves
    And the next 4 orders are lost
    And 2 seconds pass
    And runner 1 restarts without models
    And 120 seconds pass
    Then every model has its floor without runner 0
    And no runner ever exceeded its memory size
