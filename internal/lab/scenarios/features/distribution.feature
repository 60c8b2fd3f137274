@distribution
Feature: the configuration is distributed
  A published change sets a new discovery address. It passes from the source through one relay in each zone to all
  limiters. It must be in force at every reachable limiter within 18 s of its publication, or within 18 s of the
  moment when the limiter becomes reachable again, and no limiter may go back to an older version. The five rules must
  hold meanwhile. A server drains late in most scenarios: a limiter that still used the old address would not be
  notified of it.

  Scenario: calm
    Given a fleet of 24 limiters and 6 servers, seed 1, whose list is pushed
    And a source of configuration, and 2 regions of 2 zones with a relay each
    And clients send 225 requests a second from second 3 to second 31
    When all limiters start together at second 0
    And discovery's address changes at second 12
    And server "s3" drains at second 24
    Then the change is in force within 18 seconds at every limiter that can be reached
    And no limiter went back to an older version
    And no rule is broken
    And all requests have one answer

  Scenario: a relay is killed
    Given a fleet of 24 limiters and 6 servers, seed 2, whose list is pushed
    And a source of configuration, and 2 regions of 2 zones with a relay each
    And clients send 225 requests a second from second 3 to second 33
    When all limiters start together at second 0
    And relay 2 is killed at second 12
    And discovery's address changes at second 12
    And server "s3" drains at second 27
    Then the change is in force within 18 seconds at every limiter that can be reached
    And no limiter went back to an older version
    And no rule is broken
    And all requests have one answer

  Scenario: a relay is stalled
    Given a fleet of 24 limiters and 6 servers, seed 3, whose list is pushed
    And a source of configuration, and 2 regions of 2 zones with a relay each
    And clients send 225 requests a second from second 3 to second 33
    When all limiters start together at second 0
    And relay 2 is stalled at second 12
    And discovery's address changes at second 12
    And server "s3" drains at second 27
    Then the change is in force within 18 seconds at every limiter that can be reached
    And no limiter went back to an older version
    And no rule is broken
    And all requests have one answer

  Scenario: the way of a zone to its relays is cut and healed
    Given a fleet of 24 limiters and 6 servers, seed 4, whose list is pushed
    And a source of configuration, and 2 regions of 2 zones with a relay each
    And clients send 225 requests a second from second 3 to second 45
    When all limiters start together at second 0
    And the limiters of zone 3 are cut off from all relays from second 12 to second 26
    And discovery's address changes at second 14
    And server "s3" drains at second 39
    Then the change is in force within 18 seconds at every limiter that can be reached
    And no limiter went back to an older version
    And no rule is broken
    And all requests have one answer

  Scenario: a region is cut for a minute and healed
    Given a fleet of 24 limiters and 6 servers, seed 5, whose list is pushed
    And a source of configuration, and 2 regions of 2 zones with a relay each
    And clients send 225 requests a second from second 3 to second 91
    When all limiters start together at second 0
    And region 1 is cut off from second 12 to second 72
    And discovery's address changes at second 14
    And discovery's address changes at second 60
    And server "s3" drains at second 85
    Then the change is in force within 18 seconds at every limiter that can be reached
    And no limiter went back to an older version
    And no rule is broken
    And all requests have one answer

  Scenario: the way of a relay to the source is cut
    Given a fleet of 24 limiters and 6 servers, seed 6, whose list is pushed
    And a source of configuration, and 2 regions of 2 zones with a relay each
    And clients send 225 requests a second from second 3 to second 91
    When all limiters start together at second 0
    And relay 2 is cut off from the source from second 12 to second 72
    And discovery's address changes at second 14
    And server "s3" drains at second 85
    Then the change is in force within 18 seconds at every limiter that can be reached
    And no limiter went back to an older version
    And no rule is broken
    And all requests have one answer

  Scenario: a tenth of the limiters restart
    Given a fleet of 30 limiters and 6 servers, seed 7, whose list is pushed
    And a source of configuration, and 2 regions of 2 zones with a relay each
    And clients send 225 requests a second from second 3 to second 44
    When all limiters start together at second 0
    And discovery's address changes at second 8
    And a tenth of the limiters are killed at second 12 and start again 13 seconds later from the configuration that they saved
    And discovery's address changes at second 20
    And server "s3" drains at second 38
    Then the change is in force within 18 seconds at every limiter that can be reached
    And no limiter went back to an older version
    And no rule is broken
    And all requests have one answer
    And each limiter that started again began unconfirmed

  Scenario: all start cold
    Given a fleet of 24 limiters and 6 servers, seed 8, whose list is pushed
    And a source of configuration, and 2 regions of 2 zones with a relay each
    And no subscriber has a saved state
    And clients send 225 requests a second from second 3 to second 20
    When all limiters start together at second 0
    And discovery's address changes at second 0.002
    And server "s3" drains at second 14
    Then the change is in force within 18 seconds at every limiter that can be reached
    And no limiter went back to an older version
    And no rule is broken
    And all requests have one answer

  Scenario: 40 changes in a minute
    Given a fleet of 24 limiters and 6 servers, seed 9, whose list is pushed
    And a source of configuration, and 2 regions of 2 zones with a relay each
    And clients send 225 requests a second from second 3 to second 88
    When all limiters start together at second 0
    And discovery's address changes 40 times from second 10 to second 70
    And server "s3" drains at second 82
    Then the change is in force within 18 seconds at every limiter that can be reached
    And no limiter went back to an older version
    And no rule is broken
    And all requests have one answer

  Scenario: a change that no limiter can use, and one that mends it
    Given a fleet of 24 limiters and 6 servers, seed 10, whose list is pushed
    And a source of configuration, and 2 regions of 2 zones with a relay each
    And clients send 225 requests a second from second 3 to second 33
    When all limiters start together at second 0
    And an invalid address is published at second 12
    And discovery's address changes at second 16
    And server "s3" drains at second 27
    Then each limiter refused the invalid address
    And the change is in force within 18 seconds at every limiter that can be reached
    And no limiter went back to an older version
    And no rule is broken
    And all requests have one answer

  Scenario: an older writer is fenced
    Given a fleet of 24 limiters and 6 servers, seed 11, whose list is pushed
    And a source of configuration, and 2 regions of 2 zones with a relay each
    And clients send 225 requests a second from second 3 to second 33
    When all limiters start together at second 0
    And a second writer takes over and changes discovery's address at second 12
    And the first writer changes discovery's address at second 14
    And server "s3" drains at second 27
    Then the first writer is rejected
    And the change is in force within 18 seconds at every limiter that can be reached
    And no limiter went back to an older version
    And no rule is broken
    And all requests have one answer

  Scenario: the check can fail, subscribers that keep to their first relay
    Given a fleet of 24 limiters and 6 servers, seed 2, whose list is pushed
    And a source of configuration, and 2 regions of 2 zones with a relay each
    And a subscriber that keeps to its first relay
    And clients send 225 requests a second from second 3 to second 33
    When all limiters start together at second 0
    And relay 2 is killed at second 12
    And discovery's address changes at second 12
    Then the change is not in force in time at a limiter that can be reached

  Scenario: the check can fail, subscribers that take an older state
    Given a fleet of 24 limiters and 6 servers, seed 6, whose list is pushed
    And a source of configuration, and 2 regions of 2 zones with a relay each
    And a subscriber that takes an older state
    And clients send 225 requests a second from second 3 to second 91
    When all limiters start together at second 0
    And relay 2 is cut off from the source from second 12 to second 72
    And discovery's address changes at second 14
    Then a limiter went back to an older version
