package org.siskinramp.daemon.metrics;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.siskinramp.log.Counter;

final class MetricsTest {

    private final Metrics metrics = new Metrics();

    @Test
    void countersAppearFromZeroAndRise() {
        metrics.add(Counter.RETRIES, 3);
        metrics.add(Counter.RETRIES);

        assertTrue(lines().contains("\nsiskinramp_retries_total 4.0\n"));
        assertTrue(lines().contains("\nsiskinramp_hedges_total 0.0\n"));
    }

    @Test
    void gaugesAreReadWhenCollectedAndTheJvmIsMeasured() {
        metrics.register("siskinramp_waiting_requests", "Requests that wait.", () -> 7);

        assertTrue(lines().contains("\nsiskinramp_waiting_requests 7.0\n"));
        assertTrue(lines().contains("\njvm_threads_current "));
    }

    private String lines() {
        return new String(metrics.exposition(), StandardCharsets.UTF_8);
    }
}
