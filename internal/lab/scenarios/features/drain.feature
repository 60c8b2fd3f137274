Feature: a server drains
  A limiter sends no new request to a draining server once the grace period after its notification has passed. A
  limiter counts as notified of a change when its agent receives a pushed list, or when the list service writes its
  response to a poll. A silent watch delivers nothing. A limiter counts as notified of a change that a silent watch
  misses, whether or not it receives the change, 6 s after the watch became silent or, if that is later and the watch
  is a poll that may be held for 2 s, when the hold time ends.

  Scenario: a drain, and the list is pushed
    Given a fleet of 60 limiters and 12 servers, seed 1, whose list is pushed
    And clients send from second 3 to second 12
    When all limiters start together at second 0
    And server "s3" drains at second 7
    Then no rule is broken

  Scenario: a drain, and the list is asked for
    Given a fleet of 60 limiters and 12 servers, seed 2, whose list is polled from a service that answers 60 calls a second
    And clients send from second 3 to second 12
    When all limiters start together at second 0
    And server "s3" drains at second 7
    Then no rule is broken

  Scenario: a drain during a silent watch, and the list is pushed
    Given a fleet of 60 limiters and 12 servers, seed 3, whose list is pushed
    And clients send from second 3 to second 18
    When all limiters start together at second 0
    And all open watches fall silent at second 6
    And server "s3" drains at second 6.5
    Then each limiter receives the drain before it counts as notified
    And no rule is broken

  Scenario: a drain during a silent watch, and the list is asked for
    Given a fleet of 60 limiters and 12 servers, seed 4, whose list is polled from a service that answers 60 calls a second
    And clients send from second 3 to second 30
    When all limiters start together at second 0
    And all open watches fall silent at second 12
    And server "s3" drains at second 12.5
    Then each limiter receives the drain before it counts as notified
    And no rule is broken

  Scenario: a limiter that was stopped wakes with old beliefs of the servers
    Given a fleet of 60 limiters and 12 servers, seed 5, whose list is pushed
    And clients send from second 3 to second 16
    When all limiters start together at second 0
    And limiter 7 is stopped from second 5 to second 12
    And server "s3" drains at second 6
    And server "s4" drains at second 8
    Then rule 2 is kept
    And rule 3 is kept
    And rule 5 is kept
    And no limiter crashes
    And limiter 7 sends nothing to server "s3" from second 12 on
    And limiter 7 sends nothing to server "s4" from second 12 on

  Scenario: a limiter that was stopped wakes, and takes jobs that have waited for as new
    Given a fleet of 60 limiters and 12 servers, seed 5, whose list is pushed
    And clients send from second 3 to second 16
    When all limiters start together at second 0
    And limiter 7 is stopped from second 5 to second 12
    And server "s3" drains at second 6
    And server "s4" drains at second 8
    Then no rule is broken

  Scenario: the check can fail, limiters that ignore drains
    Given a fleet of 60 limiters and 12 servers, seed 1, whose list is pushed
    And a limiter that ignores drains
    And clients send from second 3 to second 12
    When all limiters start together at second 0
    And server "s3" drains at second 7
    Then rule 3 is broken

  Scenario: the check can fail, limiters that drop a watch's renewal
    Given a fleet of 60 limiters and 12 servers, seed 1, whose list is pushed
    And a limiter that drops renewals
    And clients send from second 4 to second 12
    When all limiters start within 2.5 seconds from second 0 on
    And server "s3" drains at second 7
    Then rule 3 is broken
