package org.siskinramp.standin.caller;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.siskinramp.request.RequestKey;
import org.siskinramp.standin.server.RunCount;
import org.siskinramp.standin.server.Verdict;

/**
 * Compares what callers were told with what the backend servers ran.
 *
 * @param doubled non-idempotent requests that began to run more than once
 * @param falselyNotRun requests refused as not run that began to run
 * @param overLimit requests that reached a backend server with all slots busy
 * @param coldOverload requests past what a backend server bears while cold
 * @param answeredWithoutRun requests that were answered although none of the servers ran them
 */
public record JudgeReport(
        long doubled,
        long falselyNotRun,
        long overLimit,
        long coldOverload,
        long answeredWithoutRun) {

    static JudgeReport of(
            Collection<RequestRecord> records, List<RunCount> counts, List<Verdict> verdicts) {
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
        for (RequestRecord entry : records) {
            int ran = runs.getOrDefault(entry.request().key(), 0);
            if (ran > 1) {
                entry.ranMoreThanOnce();
            }
            doubled += entry.isDoubled() ? 1 : 0;
            falselyNotRun += entry.outcome() == Outcome.NOT_RUN && ran > 0 ? 1 : 0;
            answeredWithoutRun += entry.outcome() == Outcome.ANSWERED && ran == 0 ? 1 : 0;
        }
        return new JudgeReport(
                doubled,
                falselyNotRun,
                verdicts.stream().mapToLong(Verdict::overLimit).sum(),
                verdicts.stream().mapToLong(Verdict::coldOverload).sum(),
                answeredWithoutRun);
    }
}
