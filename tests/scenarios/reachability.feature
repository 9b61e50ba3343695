Feature: Reachability
  Every offered model keeps a ready copy through moves, version changes and planned
  leaves, and a lost last copy comes back first.

  Background:
    Given the models
      | model    | memory_mb | floor |
      | escort   | 40        | 2     |
      | slips    | 30        | 1     |
      | policy   | 20        | 1     |
    And 3 runners of 150 MB that check fences
    And a controller in charge

  Scenario: A runner that crashed comes back empty
    When runner 0 restarts empty
    And 40 seconds pass
    Then every model has its floor
    And no runner was ever over its size

  Scenario: A runner leaves in a planned way
    When runner 0 leaves
    And 60 seconds pass
    Then every model has its floor without runner 0
    And every model could be reached all the time

  Scenario: Two runners leave, one after the other
    When runner 0 leaves
    And 60 seconds pass
    And runner 0 is back
    And runner 1 leaves
    And 60 seconds pass
    Then every model has its floor without runner 1
    And every model could be reached all the time

  Scenario: A version is replaced under demand
    When the demand for model escort is high
    And model escort changes to version 2
    And 90 seconds pass
    Then every model has its floor
    And every model could be reached all the time

  Scenario: The controller is lost and another takes over
    When controller 0 is paused
    And runner 1 restarts empty
    And a second controller takes over
    And 60 seconds pass
    Then every model has its floor

  Scenario: The hot model grows and the others stay
    When the demand for model escort is high
    And 120 seconds pass
    Then model escort has 3 ready copies
    And every model has its floor
    And every model could be reached all the time

  Scenario: A runner crashes in an outage of the key-value service
    When the key-value service is down
    And runner 0 restarts empty
    And 30 seconds pass
    And the key-value service is up
    And 40 seconds pass
    Then every model has its floor
    And no runner was ever over its size

  Scenario: A runner crashes while another leaves and orders get lost
    When runner 0 leaves
    And the next 4 orders are lost
    And 2 seconds pass
    And runner 1 restarts empty
    And 120 seconds pass
    Then every model has its floor without runner 0
    And no runner was ever over its size
