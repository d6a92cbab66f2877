package org.siskinramp.standin.cluster;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.siskinramp.standin.store.StoreFault;
import org.siskinramp.standin.upstream.UpstreamFault;

/** Injects random faults in an order that depends on a seed. Faults may overlap. */
final class SoakFaults {

    private static final List<String> LINK_FAULTS =
            List.of(
                    "{\"cut\": true}",
                    "{\"delay_ms\": 250}",
                    "{\"one_way\": \"to_target\"}",
                    "{\"one_way\": \"from_target\"}",
                    "{\"truncate_after\": 300}",
                    "{\"silence_existing\": true}");
    private static final List<StoreFault> STORE_FAULTS = List.of(StoreFault.values());
    private static final List<UpstreamFault> SERVER_FAULTS = List.of(UpstreamFault.values());
    private static final String CLEAR_FAULTS = "{\"heal\": true}";
    private static final int SHORTEST_FAULT_MILLISECONDS = 200;
    private static final int LONGEST_FAULT_MILLISECONDS = 2_500;
    private static final int LONGEST_GAP_MILLISECONDS = 900;
    private static final long COMPLETION_TIMEOUT_SECONDS = 60;

    private final SoakDeployment deployment;
    private final SplittableRandom random;
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final Object[] hostLocks = new Object[SoakDeployment.HOSTS];
    private final ConcurrentLinkedQueue<String> history = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Throwable> failures = new ConcurrentLinkedQueue<>();
    private final long startNanoseconds = System.nanoTime();

    SoakFaults(SoakDeployment deployment, long seed) {
        this.deployment = deployment;
        this.random = new SplittableRandom(seed);
        for (int host = 0; host < hostLocks.length; host++) {
            hostLocks[host] = new Object();
        }
    }

    /** Injects faults for a time, then waits until the last one has ended. */
    void injectFor(long milliseconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
        while (System.nanoTime() < end) {
            injectOne();
            Waiting.milliseconds(random.nextInt(LONGEST_GAP_MILLISECONDS));
        }
        executor.shutdown();
        if (!executor.awaitTermination(COMPLETION_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError("a fault has not ended in time: " + history);
        }
        failures.forEach(
                failure -> {
                    throw new AssertionError(history.toString(), failure);
                });
    }

    private void injectOne() {
        int host = random.nextInt(SoakDeployment.HOSTS);
        int server = random.nextInt(SoakDeployment.SERVERS);
        long durationMilliseconds =
                random.nextInt(SHORTEST_FAULT_MILLISECONDS, LONGEST_FAULT_MILLISECONDS);
        String link = LINK_FAULTS.get(random.nextInt(LINK_FAULTS.size()));
        StoreFault storeFault = STORE_FAULTS.get(random.nextInt(STORE_FAULTS.size()));
        UpstreamFault serverFault = SERVER_FAULTS.get(random.nextInt(SERVER_FAULTS.size()));
        switch (random.nextInt(16)) {
            case 0 -> runExclusively("kill", host, () -> kill(host, durationMilliseconds));
            case 1 -> runExclusively("terminate", host, () -> terminate(host));
            case 2 ->
                    runExclusively(
                            "pause " + durationMilliseconds,
                            host,
                            () -> pause(host, durationMilliseconds));
            case 3 -> runExclusively("hang up", host, () -> deployment.gateway(host).hangUp());
            case 4 ->
                    runAsynchronously(
                            "store " + storeFault + " " + durationMilliseconds,
                            () -> {
                                deployment.setStoreFault(storeFault);
                                Waiting.milliseconds(durationMilliseconds);
                                deployment.setStoreFault(StoreFault.NONE);
                            });
            case 5 -> runAsynchronously("store drops its history", deployment::dropStoreHistory);
            case 6 ->
                    runAsynchronously(
                            "store link of host " + host + " " + link + " " + durationMilliseconds,
                            () -> {
                                deployment.setStoreLinkFaults(host, link);
                                Waiting.milliseconds(durationMilliseconds);
                                deployment.setStoreLinkFaults(host, CLEAR_FAULTS);
                            });
            case 7 ->
                    runAsynchronously(
                            "link of server " + server + " " + link + " " + durationMilliseconds,
                            () -> {
                                deployment.setServerLinkFaults(server, link);
                                Waiting.milliseconds(durationMilliseconds);
                                deployment.setServerLinkFaults(server, CLEAR_FAULTS);
                            });
            case 8 ->
                    runAsynchronously(
                            "server " + server + " " + serverFault + " " + durationMilliseconds,
                            () -> {
                                deployment.setServerFault(server, serverFault);
                                Waiting.milliseconds(durationMilliseconds);
                                deployment.setServerFault(server, UpstreamFault.NONE);
                            });
            case 12 ->
                    runAsynchronously(
                            "server " + server + " asks for a pause " + durationMilliseconds,
                            () -> {
                                deployment.askForPause(server, "0." + durationMilliseconds % 10);
                                Waiting.milliseconds(durationMilliseconds);
                                deployment.endPause(server);
                            });
            case 13 ->
                    runAsynchronously(
                            "server " + server + " limits its rate " + durationMilliseconds,
                            () -> {
                                deployment.limitRate(server, "0." + durationMilliseconds % 10);
                                Waiting.milliseconds(durationMilliseconds);
                                deployment.endRateLimit(server);
                            });
            case 14 ->
                    runAsynchronously(
                            "restore the store to " + durationMilliseconds + " ms ago",
                            () -> deployment.restoreStore(durationMilliseconds));
            case 15 ->
                    runAsynchronously(
                            "entries of another writer " + durationMilliseconds,
                            () -> {
                                deployment.addUnreadableEntries();
                                Waiting.milliseconds(durationMilliseconds);
                                deployment.removeUnreadableEntries();
                            });
            case 9 ->
                    runAsynchronously(
                            "replace server " + server, () -> deployment.replaceServer(server));
            case 10 ->
                    runAsynchronously(
                            "evacuate zone of server " + server + " " + durationMilliseconds,
                            () -> {
                                deployment.evacuate(server);
                                Waiting.milliseconds(durationMilliseconds);
                                deployment.endEvacuation(server);
                            });
            default ->
                    runAsynchronously(
                            "configure",
                            () -> deployment.configure("/extra-" + durationMilliseconds + "/"));
        }
    }

    /**
     * Runs an action on the process of a host. Actions on one process exclude each other, those on
     * different processes may overlap.
     */
    private void runExclusively(String description, int host, Runnable action) {
        runAsynchronously(
                description + " host " + host,
                () -> {
                    synchronized (hostLocks[host]) {
                        action.run();
                    }
                });
    }

    private void runAsynchronously(String description, Runnable action) {
        history.add((System.nanoTime() - startNanoseconds) / 1_000_000 + " ms " + description);
        executor.execute(
                () -> {
                    try {
                        action.run();
                    } catch (RuntimeException | Error failure) {
                        failures.add(failure);
                    }
                });
    }

    private void kill(int host, long durationMilliseconds) {
        deployment.gateway(host).kill();
        Waiting.milliseconds(durationMilliseconds / 2);
        restart(host);
    }

    private void terminate(int host) {
        deployment.gateway(host).terminate();
        restart(host);
    }

    private void restart(int host) {
        try {
            deployment.restart(host);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private void pause(int host, long milliseconds) {
        deployment.gateway(host).pause();
        Waiting.milliseconds(milliseconds);
        deployment.gateway(host).resume();
    }

    /** Returns the injected faults with their times, for the message of a failure. */
    String history() {
        return String.join("; ", history);
    }
}
