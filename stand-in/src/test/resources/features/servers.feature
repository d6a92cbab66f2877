Feature: Backend servers fail

  Scenario: a backend server is killed and comes back cold under load
    Given 3 entry hosts and 6 backend servers in 3 availability zones
    When callers send 200 requests of every kind, 50 a second
    And all answers are in
    When callers send 500 requests of every kind, 50 a second
    And 2000 milliseconds pass
    And schedule-consent-1 is killed and starts anew
    And all answers are in
    Then at least 450 of them were answered
    And schedule-consent-1 received new work again
    And no request ran twice, was crossed or falsely refused as not run
    And no backend server was pushed past what it bears

  Scenario: open connections to backend servers go silent
    Given 3 entry hosts that reach 6 backend servers over a network that loses track
    When callers send 150 reads, 50 a second
    Then every request was answered once
    When all open connections to backend servers go silent
    And callers send 150 reads, 50 a second
    Then every request was answered once

  Scenario: a request that crashes backend servers and is sent again at once is quarantined after two
    Given 3 entry hosts and 6 backend servers in 3 availability zones
    And "burst main" crashes the backend servers that run it
    When order order-1 with "burst main" is sent to entry-1
    Then the result code is 301
    When order order-2 with "burst main" is sent to entry-2
    Then the result code is 301
    When order order-3 with "burst main" is sent to entry-3
    Then the result code is 215
    And order order-3 ran 0 times
    And backend servers crashed 2 times

  Scenario: a request that crashes backend servers and is sent again later is quarantined after two
    Given 3 entry hosts and 6 backend servers in 3 availability zones
    And "burst main" crashes the backend servers that run it
    When order order-1 with "burst main" is sent to entry-1
    Then the result code is 301
    When 3000 milliseconds pass
    And order order-2 with "burst main" is sent to entry-2
    Then the result code is 301
    When 3000 milliseconds pass
    And order order-3 with "burst main" is sent to entry-3
    Then the result code is 215
    And order order-3 ran 0 times
    And backend servers crashed 2 times
