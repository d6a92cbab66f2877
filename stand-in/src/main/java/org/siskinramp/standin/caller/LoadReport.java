package org.siskinramp.standin.caller;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Collection;
import java.util.Optional;
import org.HdrHistogram.Histogram;
import org.siskinramp.log.LogEvent;

/**
 * The outcomes and latencies of the requests of a kind, or of all kinds.
 *
 * <p>Latencies are measured from the intended send time of a request, so that they include delays
 * in sending. Requests during the warm-up are left out of them.
 *
 * @param kind the kind, or {@code total}
 * @param sent requests sent, second copies not counted
 * @param answeredOnce requests that were answered, all answered copies with the same answer
 * @param notRun requests refused as not run
 * @param unknown requests that may have run
 * @param failed requests that were answered with an error
 * @param crossed requests that got the answer of another request, or two different answers
 * @param p50Milliseconds the median latency of answered requests
 * @param p99Milliseconds the 99th percentile
 * @param p999Milliseconds the 99.9th percentile
 * @param judge the comparison with what the backend servers ran; null for single kinds, and if no
 *     servers were asked
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record LoadReport(
        String kind,
        long sent,
        long answeredOnce,
        long notRun,
        long unknown,
        long failed,
        long crossed,
        @JsonProperty("p50_ms") double p50Milliseconds,
        @JsonProperty("p99_ms") double p99Milliseconds,
        @JsonProperty("p999_ms") double p999Milliseconds,
        VerificationReport judge) {

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROSECONDS_PER_MILLISECOND = 1000;

    static LoadReport of(
            String kind,
            Collection<RequestRecord> records,
            Optional<VerificationReport> verification) {
        Histogram microseconds = new Histogram(SIGNIFICANT_DIGITS);
        records.stream()
                .filter(requestRecord -> requestRecord.request().measured())
                .mapToLong(RequestRecord::latencyMicroseconds)
                .filter(latency -> latency >= 0)
                .forEach(microseconds::recordValue);
        return new LoadReport(
                kind,
                records.size(),
                count(records, Outcome.ANSWERED),
                count(records, Outcome.NOT_RUN),
                count(records, Outcome.UNKNOWN),
                count(records, Outcome.FAILED),
                records.stream().filter(RequestRecord::isMismatched).count(),
                milliseconds(microseconds, 50),
                milliseconds(microseconds, 99),
                milliseconds(microseconds, 99.9),
                verification.orElse(null));
    }

    /**
     * Returns the report as a log event.
     *
     * @return the event
     */
    public LogEvent toEvent() {
        LogEvent event =
                LogEvent.named("callers")
                        .with("kind", kind)
                        .with("sent", sent)
                        .with("answered_once", answeredOnce)
                        .with("not_run", notRun)
                        .with("unknown", unknown)
                        .with("failed", failed)
                        .with("crossed", crossed)
                        .with("p50_ms", p50Milliseconds)
                        .with("p99_ms", p99Milliseconds)
                        .with("p999_ms", p999Milliseconds);
        return judge == null ? event : withVerification(event);
    }

    private LogEvent withVerification(LogEvent event) {
        return event.with("doubled", judge.doubled())
                .with("falsely_not_run", judge.falselyNotRun())
                .with("answered_without_run", judge.answeredWithoutRun())
                .with("over_limit", judge.overLimit())
                .with("cold_overload", judge.coldOverload());
    }

    private static double milliseconds(Histogram microseconds, double percentile) {
        return microseconds.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
    }

    private static long count(Collection<RequestRecord> records, Outcome outcome) {
        return records.stream()
                .filter(
                        requestRecord ->
                                requestRecord.outcome() == outcome && !requestRecord.isMismatched())
                .count();
    }
}
