Feature: Availability zones, hosts and the platform come and go

  Scenario: an availability zone is taken out and brought back under load
    Given 3 entry hosts and 6 backend servers in 3 availability zones
    When callers send 150 requests of every kind, 50 a second
    And all requests are completed
    When callers send 800 requests of every kind, 50 a second
    And 1000 milliseconds pass
    And operators take availability zone almaty-2 out
    And 7000 milliseconds pass
    Then schedule-consent-2 received its last new request within 3 seconds
    And dispatch-2 received its last new request within 3 seconds
    When operators take availability zone almaty-2 in
    And all requests are completed
    Then schedule-consent-2 received new requests again
    And every request was answered once
    And no request ran twice, got a wrong answer or was falsely refused as not run
    And every answered request ran
    And no backend server was overloaded

  Scenario: the platform is out for a while
    Given 3 entry hosts and 6 backend servers in 3 availability zones
    When the platform is unreachable
    And callers send 150 reads, 50 a second
    Then every request was answered once
    When order order-1 is sent to entry-1
    Then the result code is 206
    And the answer says that this copy of the order did not run and when to retry
    And order order-1 ran 0 times
    When ticket 2 is filed at entry-1
    Then the ticket is refused with result code 407
    When the platform is reachable again
    And 3000 milliseconds pass
    Then ticket 2 is unknown
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
    And entry-2 is shut down gracefully while requests are in progress
    And all requests are completed
    Then no request failed or has an unknown outcome
    And at least 200 requests were answered once
    And no request ran twice, got a wrong answer or was falsely refused as not run
    And every answered request ran
    And no backend server was overloaded
    And entry-1 and entry-3 hold all slots

  Scenario: two operators race, and every host is restarted
    Given 3 entry hosts and 6 backend servers in 3 availability zones
    When two operators file conflicting tickets 2 to 6 at the same time
    Then ticket 6 is in force on all hosts within 3 seconds
    When every host is restarted in turn
    Then every host shows the accepted tickets from 2 on
    And ticket 6 is in force on all hosts within 3 seconds
