Feature: At most once
  A call that is not repeatable runs at most once, however often it is submitted and
  whatever happens to its gateway. A refusal that says "not run" is true.

  Background:
    Given gateways A and B

  Scenario: The answer is lost, and the caller submits again at another gateway
    Given a call with a key of A
    When the caller submits it at A
    And its host runs it and the answer is lost
    Then the caller is told "may_have_run"
    When the caller submits it at B
    And B forwards it to its home
    Then the caller is told "may_have_run"
    And the call ran 1 time

  Scenario: The caller submits again while the call runs
    Given a call with a key of A
    When the caller submits it at A
    And the caller submits it at B
    And B forwards it to its home
    And its host answers
    Then the call ran 1 time
    And the caller got the answer of its first submission

  Scenario: The caller submits again after the answer
    Given a call with a key of A
    When the caller submits it at A
    And its host answers
    And the caller submits it at A
    Then the call ran 1 time
    And the caller got the answer of its first submission

  Scenario: A busy host did not run it, so another host does
    Given a call with a key of A
    When the caller submits it at A
    And its host is busy
    And 1 seconds pass
    And its host answers
    Then the call ran 1 time

  Scenario: The home is killed and starts anew at the same address
    Given a call with a key of A
    When the caller submits it at A
    And its host runs it and the answer is lost
    And A is killed and C starts in its place
    And the caller submits it at C
    Then the caller is told "may_have_run"
    And the call ran 1 time

  Scenario: The home is frozen until the deadline has passed
    Given a call with a key of A
    When A is frozen
    And the caller submits it at A
    And 30 seconds pass
    And A goes on
    Then the caller is told "not_run"
    And the call ran 0 times

  Scenario: The home leaves and hands its records over
    Given a call with a key of A
    When the caller submits it at A
    And its host runs it and the answer is lost
    And A leaves and hands its records to B
    And the caller submits it at B
    Then the caller is told "may_have_run"
    And the call ran 1 time

  Scenario: The home leaves and its records get lost on the way
    Given a call with a key of A
    When the caller submits it at A
    And its host runs it and the answer is lost
    And A leaves and its records get lost on the way to B
    And the caller submits it at B
    Then the caller is told "may_have_run"
    And the call ran 1 time

  Scenario: A key of a home that left is not among the records it handed over
    Given a call with a key of A
    When 100 seconds pass
    And A leaves and hands its records to B
    And the caller submits it at B
    Then the caller is told "may_have_run"
    And the call ran 0 times

  Scenario: The record of the key has expired
    Given a call with a key of A
    When the caller submits it at A
    And its host answers
    And 1000 seconds pass
    And the caller submits it at A
    Then the caller is told "may_have_run"
    And the call ran 1 time

  Scenario: Two gateways claim the same plain key
    Given a call with a plain key
    When the caller submits it at A
    And the caller submits it at B
    And the key-value service settles both claims
    And its host answers
    Then the call ran 1 time

  Scenario: The key-value service is out when a plain key has to be claimed
    Given a call with a plain key
    When the caller submits it at A
    And the key-value service can't be asked
    Then the caller is told "not_run"
    And the call ran 0 times

  Scenario: The answer to a claim is lost after the write took effect
    Given a call with a plain key
    When the caller submits it at A
    And the answer to its claim is lost
    Then the caller is told "may_have_run"
    And the call ran 0 times

  Scenario: The gateway that claimed a plain key is killed after the answer was lost
    Given a call with a plain key
    When the caller submits it at A
    And the key-value service settles its claim
    And its host runs it and the answer is lost
    And A is killed and C starts in its place
    And the caller submits it at B
    And the key-value service settles its claim
    Then the caller is told "may_have_run"
    And the call ran 1 time
