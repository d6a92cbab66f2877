package org.siskinramp.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.siskinramp.workspace.WorkspaceTable;

/** Admission at a simulated host: the real one, and simpler ones that the checks must reject. */
interface QuotaAdmission {

    CompletableFuture<QuotaDecision> acquire(String workspace);

    /** Creates the admission of one process of a host. */
    interface Factory {
        QuotaAdmission create(
                SimulatedQuotaHost host,
                Supplier<Optional<WorkspaceTable>> workspaces,
                UniformRandomProvider random);
    }

    /** Tokens that hosts pass on. */
    Factory TOKENS =
            (host, workspaces, random) -> {
                QuotaTable table = new QuotaTable(workspaces, QuotaSimulation.OPTIONS);
                TokenClock clock = new TokenClock(host);
                QuotaLimiter limiter = new QuotaLimiter(table, clock, host, random);
                host.schedule(random.nextInt(500), () -> host.startRelay(table, limiter, clock));
                return limiter::acquire;
            };

    /** Each host uses its own share only: callers of one host are starved. */
    Factory EQUAL_SPLIT =
            (host, workspaces, random) -> {
                QuotaTable table = new QuotaTable(workspaces, QuotaSimulation.OPTIONS);
                QuotaLimiter limiter = new QuotaLimiter(table, new TokenClock(host), host, random);
                limiter.connect(host.countSupplier(), () -> {});
                return limiter::acquire;
            };

    /** Hosts admit by a count of all runs that is half a second old: a burst overshoots. */
    Factory COUNT_AFTERWARDS =
            (host, workspaces, random) ->
                    workspace -> {
                        long now = host.simulation().time().monotonicMilliseconds();
                        double bound = QuotaSimulation.bound(workspaces.get().get().all().get(0));
                        long known = host.simulation().sentBetween(now - 5_000, now - 500);
                        return CompletableFuture.completedFuture(
                                known < bound ? QuotaDecision.UNLIMITED : QuotaDecision.refused(0));
                    };

    /** Tokens kept in the order of their sending times, to count those in a window. */
    static long mostInWindow(Iterable<Long> sortedTimes, long windowMilliseconds) {
        Deque<Long> window = new ArrayDeque<>();
        long most = 0;
        for (long sent : sortedTimes) {
            while (!window.isEmpty() && window.peek() <= sent - windowMilliseconds) {
                window.remove();
            }
            window.add(sent);
            most = Math.max(most, window.size());
        }
        return most;
    }
}
