Feature: a fleet starts
  A limiter starts with the list of its configuration, which may be old. Nothing at the start waits for a service to be
  well, and what three hundred do at once must not be more than the list service, the servers and the cold ones among
  them can bear.

  Scenario: three hundred start together with an old list, which is pushed
    Given a fleet of 300 limiters and 20 servers, seed 1, whose list is pushed
    And a fifth of the servers were replaced since the limiters' lists were written
    And clients send from second 5 to second 15
    When all limiters start together at second 1
    Then no rule is broken
    And no cold server falls
    And no server takes more than 120 new connections in a second
    And at least 75 in 100 of the jobs sent from second 5 to second 15 are done
