package org.siskinramp.daemon.exchange;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.siskinramp.time.Clock;

/** Starts exchangers for tests. */
final class TestExchanger {

    private TestExchanger() {}

    static HttpExchanger start(Clock clock) {
        return start(clock, ExchangeOptions.builder().build());
    }

    static HttpExchanger start(Clock clock, ExchangeOptions options) {
        HttpExchanger exchanger =
                new HttpExchanger(
                        "test",
                        options,
                        clock,
                        (delay, task) ->
                                CompletableFuture.delayedExecutor(delay, TimeUnit.MILLISECONDS)
                                        .execute(task),
                        event -> {},
                        (counter, amount) -> {});
        exchanger.start();
        return exchanger;
    }
}
