Feature: Configuration
  An accepted change is in force everywhere within seconds, and no process ever goes
  back to an older one, through outages, restarts and races of operators.

  Scenario: A change is in force everywhere within seconds
    Given 12 hosts in 3 data centres that follow the configuration
    When an operator's change is accepted
    And 3 seconds pass
    Then every host has the newest version
    And no host ever went back

  Scenario: The watches have stalled
    Given 12 hosts in 3 data centres that follow the configuration
    When the watches stall
    And an operator's change is accepted
    And 8 seconds pass
    Then every host has the newest version

  Scenario: A host was frozen while others went on
    Given 12 hosts in 3 data centres that follow the configuration
    When host 0 is frozen
    And 3 changes are accepted, one every 2 seconds
    And host 0 goes on
    And 8 seconds pass
    Then every host has the newest version
    And no host ever went back

  Scenario: A new process starts in an outage of the key-value service
    Given 12 hosts in 3 data centres that follow the configuration
    When an operator's change is accepted
    And 8 seconds pass
    And the key-value service is out
    And host 0 starts anew
    And 30 seconds pass
    Then every host has the newest version
    And no host ever went back

  Scenario: Messages are lost and overtake each other
    Given 12 hosts in 3 data centres that follow the configuration
    When messages get lost and late
    And 10 changes are accepted, one every 2 seconds
    And the network is whole again
    And 8 seconds pass
    Then every host has the newest version
    And no host ever went back

  Scenario: The relays of a data centre die one after the other
    Given 12 hosts in 3 data centres that follow the configuration
    When host 0 is killed
    And an operator's change is accepted
    And host 3 is killed
    And 8 seconds pass
    Then every host has the newest version

  Scenario: Two operators race, and both edits alone would be valid
    Given a base file that offers 2 floor copies
    When one operator spreads them over 2 data centres in an overlay
    And another lowers them to 1 in the base file, at the same time
    Then one edit is accepted and one refused
    And the base file and the overlay are valid together

  Scenario: The answer to an edit is lost after the write took effect
    Given a base file that offers 2 floor copies
    When the next answer of the key-value service is lost
    And one operator spreads them over 2 data centres in an overlay
    Then the edit is accepted, once

  Scenario: Two operators race, and the answer to one of them is lost
    Given a base file that offers 2 floor copies
    When the next answer of the key-value service is lost
    And one operator spreads them over 2 data centres in an overlay
    And another lowers them to 1 in the base file, at the same time
    Then one edit is accepted and one refused
    And the base file and the overlay are valid together

  Scenario: The watches have stalled, and a relay dies
    Given 12 hosts in 3 data centres that follow the configuration
    When the watches stall
    And host 0 is killed
    And an operator's change is accepted
    And host 3 is killed
    And 8 seconds pass
    Then every host has the newest version

  Scenario: A host that was frozen wakes in an outage of the key-value service
    Given 12 hosts in 3 data centres that follow the configuration
    When host 0 is frozen
    And an operator's change is accepted
    And 8 seconds pass
    And the key-value service is out
    And host 0 goes on
    And 8 seconds pass
    Then every host has the newest version
    And no host ever went back
