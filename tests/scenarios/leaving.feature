Feature: Leaving hosts
  A host that leaves gets no new work, whoever says so first; what it has begun goes on.

  Background:
    Given gateways A and B

  Scenario: A host of a plain service leaves
    When A hears that host0 leaves
    And 20 calls arrive at A
    Then A sent nothing to host0 since then
    And every call was sent

  Scenario: A runner leaves
    When A hears that engine0 leaves
    And 4 completions arrive at A
    Then A sent nothing to engine0 since then

  Scenario: A runner says itself that it leaves
    When 1 seconds pass
    And the report of engine1 says that it leaves
    And 4 completions arrive at A
    Then A sent nothing to engine1 since then

  Scenario: Every host of a service leaves
    When A hears that host0 leaves
    And A hears that host1 leaves
    And 1 calls arrive at A
    And 30 seconds pass
    Then the caller is told "not_run"
    And the call ran 0 times

  Scenario: A gateway that stops hands new arrivals to another
    Given a call with a plain key
    When A stops
    And the caller submits it at A
    Then A handed it to another gateway
    And the call ran 0 times
