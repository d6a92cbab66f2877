Feature: Availability zones, hosts and the platform come and go

  Scenario: an availability zone is taken out and brought back under load
    Given 3 entry hosts and 6 backend servers in 3 availability zones
    When callers send 150 requests of every kind, 50 a second
    And all answers are in
    When callers send 800 requests of every kind, 50 a second
    And 1000 milliseconds pass
    And operators take availability zone almaty-2 out
    And 7000 milliseconds pass
    Then schedule-consent-2 received its last new work within 3 seconds
    And dispatch-2 received its last new work within 3 seconds
    When operators take availability zone almaty-2 in
    And all answers are in
    Then schedule-consent-2 received new work again
    And every request was answered once
    And no request ran twice, was crossed or falsely refused as not run
    And every answer came from a run
    And no backend server was pushed past what it bears

  Scenario: the platform is out for a while
    Given 3 entry hosts and 6 backend servers in 3 availability zones
    When the platform is out
    And callers send 150 reads, 50 a second
    Then every request was answered once
    When order order-1 is sent to entry-1
    Then the result code is 206
    And the answer promises that it did not run and says when to come back
    And order order-1 ran 0 times
    When ticket 2 is filed at entry-1
    Then the ticket is refused with result code 407
    When the platform is back
    And 3000 milliseconds pass
    Then nothing was kept of ticket 2
    And order order-1 ran 0 times
    When ticket 2 is filed at entry-1
    Then the ticket is accepted
    When order order-1 is sent to entry-2
    Then the result code is 100
    And order order-1 ran 1 time

  Scenario: a host stops as planned under load
    Given 3 entry hosts and 6 backend servers in 3 availability zones
    When callers send 300 requests of every kind, 50 a second
    And 1500 milliseconds pass
    And entry-2 stops as planned while requests are in progress
    And all answers are in
    Then no request was cut
    And at least 200 of them were answered
    And no request ran twice, was crossed or falsely refused as not run
    And every answer came from a run
    And no backend server was pushed past what it bears
    And entry-1 and entry-3 hold all slots

  Scenario: two operators race, and every host is restarted
    Given 3 entry hosts and 6 backend servers in 3 availability zones
    When two operators race with conflicting tickets 2 to 6
    Then ticket 6 is in force on all hosts within 3 seconds
    When every host is restarted in turn
    Then every host shows the accepted tickets from 2 on
    And ticket 6 is in force on all hosts within 3 seconds
