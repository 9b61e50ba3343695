Feature: Leaving hosts
  A host that leaves gets no new requests, whichever source reports it first. Requests
  in progress continue.

  Background:
    Given gateways A and B

  Scenario: A host of a plain service leaves
    When A is notified that host0 leaves
    And 20 calls arrive at A
    Then A has sent nothing to host0 since
    And every call was sent

  Scenario: A runner leaves
    When A is notified that engine0 leaves
    And 4 completions arrive at A
    Then A has sent nothing to engine0 since

  Scenario: A runner reports that it leaves
    When 1 seconds pass
    And the report of engine1 shows that it leaves
    And 4 completions arrive at A
    Then A has sent nothing to engine1 since

  Scenario: Every host of a service leaves
    When A is notified that host0 leaves
    And A is notified that host1 leaves
    And 1 calls arrive at A
    And 30 seconds pass
    Then the caller gets the verdict "not_run"
    And the call ran 0 times

  Scenario: A stopping gateway forwards new requests to another one
    Given a call with a plain key
    When A stops
    And the caller submits it at A
    Then A forwarded it to another gateway
    And the call ran 0 times
