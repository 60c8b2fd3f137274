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
    And no server takes more than 30 new connections in any second from second 8 to second 15
    And at least 75 in 100 of the jobs sent from second 5 to second 15 are done in their agreed time

  Scenario: three hundred start together with an old list, which has to be asked for
    Given a fleet of 300 limiters and 20 servers, seed 2, whose list is asked for at a service that answers 150 calls a second
    And a fifth of the servers were replaced since the limiters' lists were written
    And clients send from second 5 to second 15
    When all limiters start together at second 1
    Then no rule is broken
    And no cold server falls
    And the list service gets at most 150 calls in any second
    And the list service turns away at most 0 calls
    And at least 75 in 100 of the jobs sent from second 5 to second 15 are done in their agreed time

  Scenario: the list service is down throughout
    Given a fleet of 300 limiters and 20 servers, seed 3, whose list is pushed
    And a tenth of the servers were replaced since the limiters' lists were written
    And clients send from second 5 to second 15
    When the list service is down from second 0.5 on
    And all limiters start together at second 1
    Then no rule is broken
    And no cold server falls
    And at least 75 in 100 of the jobs sent from second 5 to second 15 are done in their agreed time

  Scenario: the list service, which has to be asked, is down while all start, and comes back
    Given a fleet of 300 limiters and 20 servers, seed 4, whose list is asked for at a service that answers 150 calls a second
    And a tenth of the servers were replaced since the limiters' lists were written
    And clients send from second 5 to second 20
    When the list service is down from second 0.5 to second 9
    And all limiters start together at second 1
    Then no rule is broken
    And no cold server falls
    And at least 75 in 100 of the jobs sent from second 5 to second 9 are done in their agreed time
    And at least 75 in 100 of the jobs sent from second 9 to second 20 are done in their agreed time

  @open
  Scenario: the list service, which has to be asked, comes back and is asked by all at once
    Given a fleet of 300 limiters and 20 servers, seed 4, whose list is asked for at a service that answers 150 calls a second
    And a tenth of the servers were replaced since the limiters' lists were written
    And clients send from second 5 to second 20
    When the list service is down from second 0.5 to second 9
    And all limiters start together at second 1
    Then the list service gets at most 150 calls in any second
    And the list service turns away at most 0 calls

  Scenario: the list service comes back, and limiters that know what it bears ask in turn
    Given a fleet of 300 limiters and 20 servers, seed 4, whose list is asked for at a service that answers 150 calls a second
    And operators state that it bears 130 calls a second
    And a tenth of the servers were replaced since the limiters' lists were written
    And clients send from second 5 to second 20
    When the list service is down from second 0.5 to second 9
    And all limiters start together at second 1
    Then no rule is broken
    And the list service gets at most 150 calls in any second
    And the list service turns away at most 0 calls

  Scenario: the list service comes back, and every agent has the list at once
    Given a fleet of 300 limiters and 20 servers, seed 5, whose list is pushed
    And a tenth of the servers were replaced since the limiters' lists were written
    And clients send from second 5 to second 20
    When the list service is down from second 0.1 to second 9
    And all limiters start together at second 1
    Then no rule is broken
    And no cold server falls
    And no server takes more than 30 new connections in any second from second 12 to second 20
    And at least 75 in 100 of the jobs sent from second 9 to second 20 are done in their agreed time

  Scenario: seven in ten are killed in the middle of a start
    Given a fleet of 300 limiters and 20 servers, seed 6, whose list is pushed
    And a fifth of the servers were replaced since the limiters' lists were written
    And clients send from second 5 to second 15
    When all limiters start within 3 seconds from second 1 on
    And seven in ten of the limiters are killed at second 3 and start again 1 second later with their old list
    Then no rule is broken
    And no cold server falls
    And no server takes more than 30 new connections in any second from second 9 to second 15
    And at least 70 in 100 of the jobs sent from second 7 to second 15 are done in their agreed time

  Scenario: seven in ten are killed, and the list has to be asked for
    Given a fleet of 300 limiters and 20 servers, seed 7, whose list is asked for at a service that answers 150 calls a second
    And a fifth of the servers were replaced since the limiters' lists were written
    And clients send from second 5 to second 15
    When all limiters start together at second 1
    And seven in ten of the limiters are killed at second 6 and start again 1 second later with their old list
    Then no rule is broken
    And no cold server falls
    And the list service gets at most 150 calls in any second
    And the list service turns away at most 0 calls

  Scenario: the check can fail, limiters that all ask in step
    Given a fleet of 300 limiters and 20 servers, seed 2, whose list is asked for at a service that answers 100 calls a second
    And a limiter that does not know its place
    When all limiters start together at second 1
    Then the list service turns away more than 50 calls

  Scenario: the check can fail, limiters that push new servers over
    Given a fleet of 60 limiters and 4 servers, seed 3, whose list is pushed
    And cold servers fall at 1 times what they can do
    And a limiter that overfeeds new servers
    And clients send 420 jobs a second from second 3 to second 14
    When all limiters start together at second 0
    And server "s0" crashes at second 8 and is back, cold, 1 second later
    Then a cold server falls
    And rule 4 is broken
