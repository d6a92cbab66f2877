package org.siskinramp.daemon.metrics;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.siskinramp.log.RequestDuration;

class RequestMetricsTest {

    private final Metrics metrics = new Metrics();

    @Test
    void countsEndsByOutcomeCodeAndReason() {
        metrics.recordEnd("request_refused", 203, "no_room");
        assertTrue(
                exposition()
                        .contains(
                                "siskinramp_request_ends_total{outcome=\"request_refused\","
                                        + "reason=\"no_room\",result_code=\"203\"} 1.0"));
    }

    @Test
    void recordsDurationsAsAHistogramByKind() {
        metrics.recordDuration(RequestDuration.AT_SERVER, true, 150);
        String bucket =
                "siskinramp_request_seconds_bucket{idempotent=\"true\",time=\"at_server\",le=";
        assertTrue(exposition().contains(bucket + "\"0.1\"} 0"));
        assertTrue(exposition().contains(bucket + "\"0.2\"} 1"));
    }

    private String exposition() {
        return new String(metrics.exposition(), StandardCharsets.UTF_8);
    }
}
