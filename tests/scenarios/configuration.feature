Feature: Configuration
  An accepted change is applied everywhere within seconds, and no process ever reverts
  to an older version, despite outages, restarts and concurrent edits. Each host
  runs one process.

  Scenario: A change is applied everywhere within seconds
    Given 12 hosts in 3 data centres that follow the configuration
    When an operator's change is accepted
    And 3 seconds pass
    Then every host has the newest version
    And no host ever reverted to an older version

  Scenario: The watches stall
    Given 12 hosts in 3 data centres that follow the configuration
    When the watches stall
    And an operator's change is accepted
    And 8 seconds pass
    Then every host has the newest version

  Scenario: A host is paused while others apply changes
    Given 12 hosts in 3 data centres that follow the configuration
    When host 0 is paused
    And 3 changes are accepted, one every 2 seconds
    And host 0 is resumed
    And 8 seconds pass
    Then every host has the newest version
    And no host ever reverted to an older version

  Scenario: A process starts while the key-value service is down
    Given 12 hosts in 3 data centres that follow the configuration
    When an operator's change is accepted
    And 8 seconds pass
    And the key-value service is down
    And host 0 is restarted
    And 30 seconds pass
    Then every host has the newest version
    And no host ever reverted to an older version

  Scenario: Messages are lost and reordered
    Given 12 hosts in 3 data centres that follow the configuration
    When messages are lost and delayed
    And 10 changes are accepted, one every 2 seconds
    And the network recovers
    And 8 seconds pass
    Then every host has the newest version
    And no host ever reverted to an older version

  Scenario: The relays of a data centre are killed one after the other
    Given 12 hosts in 3 data centres that follow the configuration
    When host 0 is killed
    And an operator's change is accepted
    And host 3 is killed
    And 8 seconds pass
    Then every host has the newest version

  Scenario: Two concurrent edits, each of which alone is valid
    Given a base file that offers 2 floor copies
    When one operator spreads them over 2 data centres in an overlay
    And another lowers them to 1 in the base file at the same time
    Then one edit is accepted and one rejected
    And the base file and the overlay are valid together

  Scenario: The response to an edit is lost after the write took effect
    Given a base file that offers 2 floor copies
    When the next response of the key-value service is lost
    And one operator spreads them over 2 data centres in an overlay
    Then the edit is accepted once

  Scenario: Two concurrent edits, and the response to one of them is lost
    Given a base file that offers 2 floor copies
    When the next response of the key-value service is lost
    And one operator spreads them over 2 data centres in an overlay
    And another lowers them to 1 in the base file at the same time
    Then one edit is accepted and one rejected
    And the base file and the overlay are valid together

  Scenario: The watches stall and relays are killed
    Given 12 hosts in 3 data centres that follow the configuration
    When the watches stall
    And host 0 is killed
    And an operator's change is accepted
    And host 3 is killed
    And 8 seconds pass
    Then every host has the newest version

  Scenario: A paused host resumes while the key-value service is down
    Given 12 hosts in 3 data centres that follow the configuration
    When host 0 is paused
    And an operator's change is accepted
    And 8 seconds pass
    And the key-value service is down
    And host 0 is resumed
    And 8 seconds pass
    Then every host has the newest version
    And no host ever reverted to an older version
