Feature: Backend servers fail

  Scenario: a backend server is killed and comes back cold under load
    Given 3 entry hosts and 6 backend servers in 3 availability zones
    When callers send 200 requests of every kind, 50 a second
    And all requests are completed
    When callers send 500 requests of every kind, 50 a second
    And 2000 milliseconds pass
    And schedule-consent-1 is killed and restarted
    And all requests are completed
    Then at least 450 requests were answered once
    And schedule-consent-1 received new requests again
    And no request ran twice, got a wrong answer or was falsely refused as not run
    And no backend server was overloaded

  Scenario: open connections to backend servers go silent
    Given 3 entry hosts that reach 6 backend servers through fault proxies
    When callers send 150 reads, 50 a second
    Then every request was answered once
    When all open connections to backend servers stop responding
    And callers send 150 reads, 50 a second
    Then every request was answered once

  Scenario: a request that crashes backend servers and is sent again at once is quarantined after two
    Given 3 entry hosts and 6 backend servers in 3 availability zones
    And a request with "burst main" crashes each backend server that runs it
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
    And a request with "burst main" crashes each backend server that runs it
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
