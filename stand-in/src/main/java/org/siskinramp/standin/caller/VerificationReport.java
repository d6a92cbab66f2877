package org.siskinramp.standin.caller;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.siskinramp.request.RequestKey;
import org.siskinramp.standin.server.ExecutionStatistics;
import org.siskinramp.standin.server.RunCount;

/**
 * The comparison of the answers that callers got with what the backend servers really ran.
 *
 * @param doubled non-idempotent requests that servers started to run more than once
 * @param falselyNotRun requests that were refused as not run although a server started to run them
 * @param overLimit requests that reached a backend server while all its slots were busy
 * @param coldOverload requests that reached a cold backend server while it had its limit of
 *     requests in progress
 * @param answeredWithoutRun requests that were answered although no server ran them
 */
public record VerificationReport(
        long doubled,
        long falselyNotRun,
        long overLimit,
        long coldOverload,
        long answeredWithoutRun) {

    static VerificationReport of(
            Collection<RequestRecord> records,
            List<RunCount> counts,
            List<ExecutionStatistics> statistics) {
        Map<RequestKey, Integer> runs = new HashMap<>();
        counts.forEach(
                count ->
                        runs.merge(
                                new RequestKey(count.caller(), count.requestId()),
                                count.runs(),
                                Integer::sum));
        long doubled = 0;
        long falselyNotRun = 0;
        long answeredWithoutRun = 0;
        for (RequestRecord requestRecord : records) {
            int runCount = runs.getOrDefault(requestRecord.request().key(), 0);
            if (runCount > 1) {
                requestRecord.markRunMoreThanOnce();
            }
            doubled += requestRecord.isDoubled() ? 1 : 0;
            falselyNotRun += requestRecord.outcome() == Outcome.NOT_RUN && runCount > 0 ? 1 : 0;
            answeredWithoutRun +=
                    requestRecord.outcome() == Outcome.ANSWERED && runCount == 0 ? 1 : 0;
        }
        return new VerificationReport(
                doubled,
                falselyNotRun,
                statistics.stream().mapToLong(ExecutionStatistics::overLimit).sum(),
                statistics.stream().mapToLong(ExecutionStatistics::coldOverload).sum(),
                answeredWithoutRun);
    }
}
