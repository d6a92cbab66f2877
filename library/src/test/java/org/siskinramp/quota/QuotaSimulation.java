package org.siskinramp.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.result.Futures;
import org.siskinramp.time.VirtualTime;
import org.siskinramp.workspace.Workspace;

/** Hosts of a deployment with one workspace, under virtual time. */
final class QuotaSimulation {

    static final String WORKSPACE = "crew";
    static final long WINDOW_MILLISECONDS = 5_000;
    static final QuotaOptions OPTIONS = new QuotaOptions(WINDOW_MILLISECONDS, 0.1, 20);
    private static final int ZONES = 3;
    private static final int HOSTS_PER_READER = 32;
    private static final int HOSTS_WITHOUT_ZONE_READERS = 24;

    /** Requests wait for a server for some time after they were admitted. */
    private static final int MAXIMUM_SEND_DELAY_MILLISECONDS = 60;

    private final VirtualTime time = new VirtualTime();
    private final UniformRandomProvider random;
    private final QuotaAdmission.Factory factory;
    private final List<SimulatedQuotaHost> hosts = new ArrayList<>();
    private final Map<String, SimulatedQuotaHost> byName = new HashMap<>();
    private final List<Long> sentTimes = new ArrayList<>();
    private final Map<Integer, List<SimulatedQuotaHost>> readersBySize = new HashMap<>();
    private Workspace workspace;
    private double lossProbability;
    private long offered;
    private long granted;
    private long messages;
    private long messagesBetweenZones;
    private final List<PeerMessage> sampleBetweenZones = new ArrayList<>();

    QuotaSimulation(long seed, int hostCount, Workspace workspace, QuotaAdmission.Factory factory) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.workspace = workspace;
        this.factory = factory;
        for (int number = 0; number < hostCount; number++) {
            register(number);
        }
        hosts.forEach(host -> host.start(workspace, factory, true));
        confirmHostCounts();
    }

    private SimulatedQuotaHost register(int number) {
        SimulatedQuotaHost host =
                new SimulatedQuotaHost(
                        this,
                        number,
                        number % ZONES,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong()));
        hosts.add(host);
        byName.put(host.name(), host);
        return host;
    }

    static double bound(Workspace workspace) {
        double seconds = WINDOW_MILLISECONDS / 1_000.0;
        return (workspace.requestsPerSecond() * seconds + workspace.burst())
                        * (1 + OPTIONS.tolerance())
                + OPTIONS.slackRequests();
    }

    VirtualTime time() {
        return time;
    }

    UniformRandomProvider random() {
        return random;
    }

    List<SimulatedQuotaHost> hosts() {
        return hosts;
    }

    int publishedHosts() {
        return hosts.size();
    }

    List<SimulatedQuotaHost> readers() {
        return readersBySize.computeIfAbsent(hosts.size(), this::chooseReaders);
    }

    private List<SimulatedQuotaHost> chooseReaders(int size) {
        if (size <= HOSTS_WITHOUT_ZONE_READERS) {
            return List.copyOf(hosts.subList(0, Math.min(2, size)));
        }
        int perZone = (size / ZONES + HOSTS_PER_READER - 1) / HOSTS_PER_READER;
        return List.copyOf(hosts.subList(0, perZone * ZONES));
    }

    boolean isReachable(SimulatedQuotaHost from, SimulatedQuotaHost to) {
        return to.isAlive()
                && !to.isFrozen()
                && from.isCutOff() == to.isCutOff()
                && from != to
                && !from.isCutOff();
    }

    /** Loses, duplicates, delays and reorders messages. Those of a cut link come late or never. */
    void transmit(SimulatedQuotaHost sender, String receiver, PeerMessage message) {
        SimulatedQuotaHost target = byName.get(receiver);
        messages++;
        if (target.zone() != sender.zone()) {
            messagesBetweenZones++;
            sampleBetweenZones.add(message);
        }
        int copies = random.nextDouble() < lossProbability ? 2 : 1;
        if (random.nextDouble() < lossProbability) {
            return;
        }
        for (int copy = 0; copy < copies; copy++) {
            boolean isDelayed = random.nextDouble() < lossProbability;
            long delay = 1 + random.nextLong(isDelayed ? 500 : 3);
            time.schedule(delay, () -> deliver(sender, target, message));
        }
    }

    private void deliver(
            SimulatedQuotaHost sender, SimulatedQuotaHost target, PeerMessage message) {
        if (sender.isCutOff() || target.isCutOff()) {
            if (random.nextBoolean()) {
                time.schedule(random.nextInt(4_000), () -> deliver(sender, target, message));
            }
        } else if (target.isAlive()) {
            target.receive(sender.name(), message);
        }
    }

    void setLossProbability(double probability) {
        lossProbability = probability;
    }

    /** Sends requests for some time, each to one of the given hosts. */
    void offer(double requestsPerSecond, List<SimulatedQuotaHost> targets, long milliseconds) {
        long end = time.monotonicMilliseconds() + milliseconds;
        scheduleArrival(requestsPerSecond, targets, end, (double) time.monotonicMilliseconds());
    }

    private void scheduleArrival(
            double perSecond, List<SimulatedQuotaHost> targets, long end, double previous) {
        double next = previous - Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
        if (next < end) {
            time.schedule(
                    Math.max(0, (long) next - time.monotonicMilliseconds()),
                    () -> {
                        send(targets.get(random.nextInt(targets.size())));
                        scheduleArrival(perSecond, targets, end, next);
                    });
        }
    }

    private void send(SimulatedQuotaHost host) {
        offered++;
        host.run(
                host.incarnation(),
                () ->
                        Futures.whenDone(
                                host.acquire(),
                                (decision, failure) -> {
                                    if (decision != null && decision.isGranted()) {
                                        granted++;
                                        scheduleSend(host);
                                    }
                                }));
    }

    private void scheduleSend(SimulatedQuotaHost host) {
        host.schedule(
                random.nextInt(MAXIMUM_SEND_DELAY_MILLISECONDS + 1),
                () -> sentTimes.add(time.monotonicMilliseconds()));
    }

    void addHost() {
        SimulatedQuotaHost added = register(hosts.size());
        added.start(workspace, factory, false);
    }

    /** Hosts read the hosts table, directly or through a reader, at most 10 s after a change. */
    private void confirmHostCounts() {
        int count = hosts.size();
        for (SimulatedQuotaHost host : hosts) {
            time.schedule(random.nextInt(8_000), () -> host.learnHostCount(count));
        }
        time.schedule(2_000, this::confirmHostCounts);
    }

    void restart(SimulatedQuotaHost host) {
        host.kill();
        time.schedule(200 + random.nextLong(3_000), () -> host.start(workspace, factory, true));
    }

    /** Lowers the quota; hosts apply that within 2.5 s. */
    void lowerRate(double factor) {
        workspace =
                new Workspace(
                        WORKSPACE,
                        Workspace.NO_RANK,
                        workspace.requestsPerSecond() * factor,
                        workspace.burst() * factor,
                        List.of());
        Workspace lowered = workspace;
        hosts.forEach(host -> time.schedule(random.nextInt(2_500), () -> host.configure(lowered)));
    }

    Workspace workspace() {
        return workspace;
    }

    long sentBetween(long fromExclusive, long to) {
        int count = 0;
        for (int i = sentTimes.size() - 1; i >= 0 && sentTimes.get(i) > fromExclusive; i--) {
            count += sentTimes.get(i) <= to ? 1 : 0;
        }
        return count;
    }

    long mostSentInWindow(long fromMilliseconds, long toMilliseconds) {
        return QuotaAdmission.mostInWindow(
                sentTimes.stream()
                        .filter(sent -> sent >= fromMilliseconds && sent < toMilliseconds)
                        .toList(),
                WINDOW_MILLISECONDS);
    }

    double grantedFraction() {
        return (double) granted / offered;
    }

    void resetCounts() {
        offered = 0;
        granted = 0;
        messages = 0;
        messagesBetweenZones = 0;
        sampleBetweenZones.clear();
    }

    long messages() {
        return messages;
    }

    long messagesBetweenZones() {
        return messagesBetweenZones;
    }

    List<PeerMessage> sentBetweenZones() {
        return sampleBetweenZones;
    }
}
