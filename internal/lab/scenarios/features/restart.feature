Feature: limiters are restarted, moved and cut off
  A planned restart and a move of the list service or the counter lose no request, and no quota's hard ceiling is
  exceeded whatever happens to the counter.

  Scenario: a planned restart, a tenth at a time, with clients that stay
    Given a fleet of 100 limiters and 12 servers, seed 1, whose list is pushed
    And clients keep their connections open while a limiter shuts down
    And clients send from second 3 to second 22
    When all limiters start together at second 0
    And the limiters are restarted from second 4 on, a tenth at a time, every 1.5 seconds
    Then no rule is broken
    And no limiter is killed for exceeding its shutdown time
    And at least 75 in 100 of the requests sent from second 3 to second 22 meet their latency objective

  Scenario: a planned restart, a tenth at a time, with clients that leave
    Given a fleet of 100 limiters and 12 servers, seed 2, whose list is pushed
    And clients send from second 3 to second 22
    When all limiters start together at second 0
    And the limiters are restarted from second 4 on, a tenth at a time, every 1.5 seconds
    Then no rule is broken
    And no limiter is killed for exceeding its shutdown time
    And at least 75 in 100 of the requests sent from second 3 to second 22 meet their latency objective

  Scenario: what a third of the limiters ask the counter is lost
    Given a fleet of 60 limiters and 12 servers, seed 3, whose list is pushed
    And clients send from second 3 to second 18
    When all limiters start together at second 0
    And what a third of the limiters send to the counter is lost from second 6 to second 12
    Then no rule is broken
    And at least 75 in 100 of the requests sent from second 3 to second 18 meet their latency objective

  Scenario: what the counter answers a third of the limiters is lost
    Given a fleet of 60 limiters and 12 servers, seed 4, whose list is pushed
    And clients send from second 3 to second 18
    When all limiters start together at second 0
    And what the counter answers a third of the limiters is lost from second 6 to second 12
    Then no rule is broken
    And at least 75 in 100 of the requests sent from second 3 to second 18 meet their latency objective

  Scenario: what all limiters ask the counter is lost
    Given a fleet of 60 limiters and 12 servers, seed 3, whose list is pushed
    And clients send from second 3 to second 14
    When all limiters start together at second 0
    And what all of the limiters send to the counter is lost from second 3 to second 14
    Then no rule is broken
    And at least 65 in 100 of the requests sent from second 3 to second 14 meet their latency objective

  Scenario: a second SIGHUP while the first move is under way
    Given a fleet of 60 limiters and 12 servers, seed 5, whose list is pushed
    And clients send from second 3 to second 16
    When all limiters start together at second 0
    And SIGHUP moves all limiters to list service 2 and counter 2 at second 6
    And SIGHUP moves all limiters to list service 3 and counter 3 at second 6.001
    And server "s3" drains at second 6.1
    And server "s4" drains at second 11
    Then no rule is broken
    And at least 75 in 100 of the requests sent from second 3 to second 16 meet their latency objective

  Scenario: a second SIGHUP while the first move is under way, and the list is asked for
    Given a fleet of 60 limiters and 12 servers, seed 6, whose list is polled from a service that answers 60 calls a second
    And clients send from second 3 to second 21
    When all limiters start together at second 0
    And SIGHUP moves all limiters to list service 2 and counter 2 at second 6
    And SIGHUP moves all limiters to list service 3 and counter 3 at second 6.001
    And server "s3" drains at second 6.1
    And server "s4" drains at second 11
    Then no rule is broken
    And at least 75 in 100 of the requests sent from second 3 to second 21 meet their latency objective

  Scenario: the check can fail, limiters that lose answers
    Given a fleet of 20 limiters and 6 servers, seed 1, whose list is pushed
    And a limiter that loses answers
    And clients send from second 3 to second 6
    When all limiters start together at second 0
    Then rule 1 is broken

  Scenario: the check can fail, limiters that send twice
    Given a fleet of 20 limiters and 6 servers, seed 1, whose list is pushed
    And a limiter that sends twice
    And clients send from second 3 to second 6
    When all limiters start together at second 0
    Then rule 2 is broken

  Scenario: the check can fail, limiters that know no ceiling
    Given a fleet of 60 limiters and 12 servers, seed 3, whose list is pushed
    And a limiter that knows no ceiling
    And clients send from second 3 to second 14
    When all limiters start together at second 0
    And what all of the limiters send to the counter is lost from second 3 to second 14
    Then rule 5 is broken

  Scenario: limiters that die again and again while the counter is lost
    Given a fleet of 60 limiters and 12 servers, seed 7, whose list is pushed
    And clients send 1700 requests a second from second 3 to second 16
    When all limiters start together at second 0
    And what all of the limiters send to the counter is lost from second 3 to second 16
    And half of the limiters are killed at second 6 and start again 0.5 seconds later with their old list
    And half of the limiters are killed at second 9 and start again 0.5 seconds later with their old list
    And half of the limiters are killed at second 12 and start again 0.5 seconds later with their old list
    Then no rule is broken
