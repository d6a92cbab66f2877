Feature: Every request is answered once, whatever fails

  Scenario: every kind is answered once, and a repeated request is not run again
    Given 3 entry hosts and 6 backend servers in 3 availability zones
    When callers send 200 requests of every kind, 50 a second
    Then every request was answered once
    And no request ran twice, got a wrong answer or was falsely refused as not run
    And every answered request ran
    And no backend server was overloaded
    When order order-1 is sent to entry-1
    Then the result code is 100
    When order order-1 is sent again to entry-2 until it is no longer in progress
    Then the result code is 101
    And both answers are the same
    And order order-1 ran 1 time

  Scenario: a host is killed under load
    Given 3 entry hosts and 6 backend servers in 3 availability zones
    When callers send 300 requests of every kind, 50 a second
    And 2000 milliseconds pass
    And entry-3 is killed
    And all requests are completed
    Then at least 260 requests were answered once
    And no request ran twice, got a wrong answer or was falsely refused as not run
    And every answered request ran
    And no backend server was overloaded
    And entry-1 and entry-2 hold all slots
    When callers send 100 requests of every kind, 50 a second
    Then every request was answered once
    And no backend server was overloaded

  Scenario: a host is paused past its lease under load
    Given 3 entry hosts and 6 backend servers in 3 availability zones
    When callers send 450 requests of every kind, 50 a second
    And 1000 milliseconds pass
    And entry-2 is paused for 5000 milliseconds
    And all requests are completed
    Then at least 250 requests were answered once
    And no request ran twice, got a wrong answer or was falsely refused as not run
    And every answered request ran
    And no backend server was overloaded
