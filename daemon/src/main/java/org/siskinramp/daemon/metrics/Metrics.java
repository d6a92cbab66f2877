package org.siskinramp.daemon.metrics;

import io.prometheus.metrics.config.EscapingScheme;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.siskinramp.daemon.peer.PeerTrafficRecorder;
import org.siskinramp.log.Counter;
import org.siskinramp.log.Counters;
import org.siskinramp.log.RequestDuration;
import org.siskinramp.log.RequestMetricsRecorder;

/** Holds the metrics of one host. */
public final class Metrics
        implements Counters, Gauges, PeerTrafficRecorder, RequestMetricsRecorder {

    /** The media type of {@link #exposition()}. */
    public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    /** Covers short waits for a free server up to the longest time limits of routes. */
    private static final double[] REQUEST_BUCKETS_SECONDS = {
        0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
    private final Map<Counter, io.prometheus.metrics.core.metrics.Counter> counters =
            new EnumMap<>(Counter.class);

    private final io.prometheus.metrics.core.metrics.Counter peerMessageBytes;
    private final io.prometheus.metrics.core.metrics.Counter peerMessages;

    private final Histogram requestSeconds =
            Histogram.builder()
                    .name("siskinramp_request_seconds")
                    .help("Times of requests: waiting, at the backend server, whole.")
                    .labelNames("time", "idempotent")
                    .classicOnly()
                    .classicUpperBounds(REQUEST_BUCKETS_SECONDS)
                    .register(registry);
    private final io.prometheus.metrics.core.metrics.Counter requestEnds =
            io.prometheus.metrics.core.metrics.Counter.builder()
                    .name("siskinramp_request_ends")
                    .help("Ends of requests by outcome, result code and reason.")
                    .labelNames("outcome", "result_code", "reason")
                    .register(registry);
    private boolean hasJvmMetrics;

    /** Creates metrics in which every counter is zero. */
    public Metrics() {
        Arrays.stream(Counter.values()).forEach(this::addCounter);
        peerMessages = peerCounter("siskinramp_peer_messages", "Messages between entry hosts.");
        peerMessageBytes =
                peerCounter(
                        "siskinramp_peer_message_bytes",
                        "Bytes of messages between entry hosts, with their length fields.");
    }

    /**
     * Registers the JVM metrics at the first collection. They load many classes, which would slow
     * down the start of the process.
     */
    private synchronized void addJvmMetrics() {
        if (!hasJvmMetrics) {
            JvmMetrics.builder().register(registry);
            hasJvmMetrics = true;
        }
    }

    @Override
    public void add(Counter counter, long amount) {
        counters.get(counter).inc(amount);
    }

    @Override
    public void recordDuration(RequestDuration duration, boolean idempotent, long milliseconds) {
        requestSeconds
                .labelValues(duration.name().toLowerCase(Locale.ROOT), Boolean.toString(idempotent))
                .observe(milliseconds / MILLISECONDS_PER_SECOND);
    }

    @Override
    public void recordEnd(String outcome, int resultCode, String reason) {
        requestEnds.labelValues(outcome, Integer.toString(resultCode), reason).inc();
    }

    @Override
    public void recordFrame(Direction direction, String messageType, int bytes) {
        String directionLabel = direction.name().toLowerCase(Locale.ROOT);
        peerMessages.labelValues(directionLabel, messageType).inc();
        peerMessageBytes.labelValues(directionLabel, messageType).inc(bytes);
    }

    @Override
    public void register(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /**
     * Registers a counter whose value is read whenever the metrics are collected.
     *
     * @param name the metric's name, without the suffix {@code _total}
     * @param help one sentence that describes the counter
     * @param value returns the current value, which never falls; called on any thread, must not
     *     block
     */
    public void registerCounter(String name, String help, IntSupplier value) {
        CounterWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsInt()))
                .register(registry);
    }

    /**
     * Registers a counter with labels whose values are read whenever the metrics are collected.
     *
     * @param name the metric's name, without the suffix {@code _total}
     * @param help one sentence that describes the counter
     * @param labels the names of the labels
     * @param values returns the current values; called on any thread, must not block
     */
    public void registerCounters(
            String name, String help, List<String> labels, Supplier<List<LabelledValue>> values) {
        CounterWithCallback.builder()
                .name(name)
                .help(help)
                .labelNames(labels.toArray(String[]::new))
                .callback(
                        callback ->
                                values.get()
                                        .forEach(
                                                series ->
                                                        callback.call(
                                                                series.value(),
                                                                series.labels()
                                                                        .toArray(String[]::new))))
                .register(registry);
    }

    /**
     * Collects all metrics, including those of the JVM.
     *
     * @return the metrics in the Prometheus text format, in UTF-8
     */
    public byte[] exposition() {
        addJvmMetrics();
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try {
            writer.write(output, registry.scrape(), EscapingScheme.DEFAULT);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return output.toByteArray();
    }

    private io.prometheus.metrics.core.metrics.Counter peerCounter(String name, String help) {
        return io.prometheus.metrics.core.metrics.Counter.builder()
                .name(name)
                .help(help)
                .labelNames("direction", "type")
                .register(registry);
    }

    private void addCounter(Counter counter) {
        counters.put(
                counter,
                io.prometheus.metrics.core.metrics.Counter.builder()
                        .name(counter.metricName())
                        .help(helpOf(counter))
                        .register(registry));
    }

    private static String helpOf(Counter counter) {
        return "Total of " + counter.name().toLowerCase(Locale.ROOT).replace('_', ' ') + ".";
    }
}
