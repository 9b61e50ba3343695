Feature: At most once
  A call that is not idempotent runs at most once, however often it is submitted and
  whatever happens to its gateway. The verdict "not_run" of a rejection is always true.

  Background:
    Given gateways A and B

  Scenario: The response is lost, and the caller retries at another gateway
    Given a call with a key of A
    When the caller submits it at A
    And its host runs it and the response is lost
    Then the caller gets the verdict "may_have_run"
    When the caller submits it at B
    And B forwards it to its home
    Then the caller gets the verdict "may_have_run"
    And the call ran 1 time

  Scenario: The caller retries while the call runs
    Given a call with a key of A
    When the caller submits it at A
    And the caller submits it at B
    And B forwards it to its home
    And its host responds
    Then the call ran 1 time
    And the caller got the response to its first submission

  Scenario: The caller retries after the response
    Given a call with a key of A
    When the caller submits it at A
    And its host responds
    And the caller submits it at A
    Then the call ran 1 time
    And the caller got the response to its first submission

  Scenario: A busy host does not run the call, so another host does
    Given a call with a key of A
    When the caller submits it at A
    And its host is busy
    And 1 seconds pass
    And its host responds
    Then the call ran 1 time

  Scenario: The home is killed and restarted at the same address
    Given a call with a key of A
    When the caller submits it at A
    And its host runs it and the response is lost
    And A is killed and C starts in its place
    And the caller submits it at C
    Then the caller gets the verdict "may_have_run"
    And the call ran 1 time

  Scenario: The home is paused until the deadline has passed
    Given a call with a key of A
    When A is paused
    And the caller submits it at A
    And 30 seconds pass
    And A is resumed
    Then the caller gets the verdict "not_run"
    And the call ran 0 times

  Scenario: The home leaves and hands its records over
    Given a call with a key of A
    When the caller submits it at A
    And its host runs it and the response is lost
    And A leaves and hands its records to B
    And the caller submits it at B
    Then the caller gets the verdict "may_have_run"
    And the call ran 1 time

  Scenario: The home leaves and its records are lost
    Given a call with a key of A
    When the caller submits it at A
    And its host runs it and the response is lost
    And A leaves and its records to B are lost
    And the caller submits it at B
    Then the caller gets the verdict "may_have_run"
    And the call ran 1 time

  Scenario: The home leaves, and the key is not in the records that it hands over
    Given a call with a key of A
    When 100 seconds pass
    And A leaves and hands its records to B
    And the caller submits it at B
    Then the caller gets the verdict "may_have_run"
    And the call ran 0 times

  Scenario: The record of the key has expired
    Given a call with a key of A
    When the caller submits it at A
    And its host responds
    And 1000 seconds pass
    And the caller submits it at A
    Then the caller gets the verdict "may_have_run"
    And the call ran 1 time

  Scenario: Two gateways claim the same plain key
    Given a call with a plain key
    When the caller submits it at A
    And the caller submits it at B
    And the key-value service executes both claims
    And its host responds
    Then the call ran 1 time

  Scenario: The key-value service is down when a plain key must be claimed
    Given a call with a plain key
    When the caller submits it at A
    And the key-value service is down
    Then the caller gets the verdict "not_run"
    And the call ran 0 times

  Scenario: The response to a claim is lost after the write took effect
    Given a call with a plain key
    When the caller submits it at A
    And the response to its claim is lost
    Then the caller gets the verdict "may_have_run"
    And the call ran 0 times

  Scenario: The gateway that claimed a plain key is killed after a lost response
    Given a call with a plain key
    When the caller submits it at A
    And the key-value service executes its claim
    And its host runs it and the response is lost
    And A is killed and C starts in its place
    And the caller submits it at B
    And the key-value service executes its claim
    Then the caller gets the verdict "may_have_run"
    And the call ran 1 time
