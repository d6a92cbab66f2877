package org.siskinramp.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.IntFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.siskinramp.time.VirtualTime;

/**
 * Simulates one order in virtual time: hosts that send requests, report counts late or not at all
 * and learn of steps late, and a coordinating host that dies. Each random number is drawn from the
 * source given, so that a run can be repeated.
 */
final class SimulatedRollout {

    private static final int HOSTS = 10;
    private static final int TICK_MILLISECONDS = 50;
    private static final int DECISION_TICKS = 5;
    private static final int REPORT_TICKS = 10;
    private static final long CONTACT_MILLISECONDS = 2_000;
    private static final long COLD_MILLISECONDS = 3_000;
    private static final double USUAL_SLOW_SHARE = 0.1;
    private static final double USUAL_FAILURES = 0.001;

    private static final Set<RolloutStep> MAY_SEND_TO_OLD =
            Set.of(RolloutStep.SAMPLING, RolloutStep.ROLLED_BACK);

    /** In what way the target is bad. */
    enum Kind {
        GOOD,
        BAD_AT_ONCE,
        BAD_LATER,
        BAD_UNDER_LOAD,
        BAD_ON_ONE_ROUTE
    }

    /** What fails besides the target. */
    enum Fault {
        NONE,
        COORDINATOR_KILLED_AT_TIME,
        COORDINATOR_KILLED_AT_STEP,
        STORE_SILENT,
        STORE_SLOW,
        STORE_RESTORED
    }

    final Kind kind;
    final Fault fault;
    final long durationMilliseconds;
    long requests;
    long exposedRequests;
    long lastExposureMilliseconds = -1;
    long fiftiethBadMilliseconds = Long.MAX_VALUE;
    RolloutStep recordedStep = RolloutStep.SAMPLING;
    RolloutStep statusAtDeadline = RolloutStep.SAMPLING;
    private final UniformRandomProvider random;
    private final IntFunction<Decider> deciders;
    private final Host[] hosts = new Host[HOSTS];
    private final double[] routeShares;
    private final double requestsPerTick;
    private final boolean isSlowKind;
    private final double badShare;
    final long badFromMilliseconds;
    private final long faultAtMilliseconds;
    private final int killedChange;
    private final VirtualTime time = new VirtualTime();
    private long now;
    private long badResponses;
    private Decider decider;
    private RolloutDecision decision = new RolloutDecision(RolloutStep.SAMPLING, 0, "");
    private long coordinatorReturnsAt;
    private int changes;

    SimulatedRollout(
            Kind kind, Fault fault, UniformRandomProvider random, IntFunction<Decider> deciders) {
        this.kind = kind;
        this.fault = fault;
        this.random = random;
        this.deciders = deciders;
        durationMilliseconds = between(12_000, 24_000);
        requestsPerTick = between(500, 1_000) * TICK_MILLISECONDS / 1_000.0;
        routeShares = shares((int) between(1, 5));
        isSlowKind = random.nextBoolean();
        badShare = isSlowKind ? 0.7 + 0.3 * random.nextDouble() : 0.2 + 0.6 * random.nextDouble();
        badFromMilliseconds =
                switch (kind) {
                    case BAD_LATER -> between(500, durationMilliseconds);
                    case BAD_UNDER_LOAD -> COLD_MILLISECONDS;
                    default -> 0;
                };
        faultAtMilliseconds = between(0, durationMilliseconds);
        killedChange = (int) between(1, 3);
        for (int host = 0; host < HOSTS; host++) {
            hosts[host] = new Host(routeShares.length);
        }
        decider = deciders.apply(routeShares.length);
    }

    private long between(long from, long to) {
        return from + random.nextLong(to - from + 1);
    }

    /** Returns shares of which none is below a tenth. */
    private double[] shares(int count) {
        double[] shares = new double[count];
        double total = 0;
        for (int route = 0; route < count; route++) {
            shares[route] = 0.5 + random.nextDouble();
            total += shares[route];
        }
        for (int route = 0; route < count; route++) {
            shares[route] /= total;
        }
        return shares;
    }

    void run() {
        for (int tick = 0; now < durationMilliseconds + 6_000; tick++) {
            time.advance(TICK_MILLISECONDS);
            now += TICK_MILLISECONDS;
            for (int host = 0; host < HOSTS; host++) {
                hosts[host].send();
                if ((tick + host) % REPORT_TICKS == 0 || hosts[host].isDrained()) {
                    report(hosts[host]);
                }
            }
            boolean isDue = tick % DECISION_TICKS == 0 || decision.step() == RolloutStep.MOVING;
            if (isDue && now >= coordinatorReturnsAt) {
                coordinate();
            }
            if (now <= durationMilliseconds) {
                statusAtDeadline = recordedStep;
            }
        }
    }

    /** One message in fifty is lost; the next report replaces it. */
    private void report(Host host) {
        if (random.nextInt(50) > 0) {
            Snapshot snapshot = host.snapshot();
            time.schedule(between(5, 150), () -> host.reported = snapshot);
        }
    }

    private boolean isStoreAvailable() {
        return fault != Fault.STORE_SILENT
                || now < faultAtMilliseconds
                || now > faultAtMilliseconds + 4_000;
    }

    private void coordinate() {
        if (fault == Fault.COORDINATOR_KILLED_AT_TIME
                && now >= faultAtMilliseconds
                && now < faultAtMilliseconds + DECISION_TICKS * TICK_MILLISECONDS) {
            replaceCoordinator();
            return;
        }
        if (fault == Fault.STORE_RESTORED && now >= faultAtMilliseconds && changes > 0) {
            // The copy is of the time before the first change; the state is written again.
            changes = -1_000;
            recordedStep = RolloutStep.SAMPLING;
        }
        List<RouteCounts> counts = new ArrayList<>();
        for (int route = 0; route < routeShares.length; route++) {
            ResponseCounts old = ResponseCounts.NONE;
            ResponseCounts target = ResponseCounts.NONE;
            for (Host host : hosts) {
                old = old.plus(host.reported.old[route]);
                target = target.plus(host.reported.target[route]);
            }
            counts.add(new RouteCounts("route-" + route, old, target));
        }
        long exposed = 0;
        long sent = 0;
        long inProgress = 0;
        for (Host host : hosts) {
            exposed += host.reported.exposed;
            sent += host.reported.sent;
            inProgress += host.reported.oldInProgress;
        }
        RolloutStep before = decision.step();
        decision =
                decider.decide(
                        new RolloutSituation(
                                before,
                                now,
                                durationMilliseconds,
                                exposed,
                                sent,
                                counts,
                                now > COLD_MILLISECONDS,
                                inProgress,
                                isStoreAvailable()));
        if (decision.step() != before) {
            changes++;
            if (fault == Fault.COORDINATOR_KILLED_AT_STEP && changes == killedChange) {
                replaceCoordinator();
                return;
            }
        }
        record(decision.step());
        // Other hosts stop sending to old servers for good only once the store holds that.
        RolloutDecision announced = decision;
        for (Host host : hosts) {
            time.schedule(between(5, 150), () -> host.learn(announced));
        }
    }

    private void record(RolloutStep step) {
        if (step.compareTo(recordedStep) > 0 && isStoreAvailable()) {
            long delay = fault == Fault.STORE_SLOW ? between(100, 400) : between(5, 30);
            time.schedule(
                    delay,
                    () -> {
                        boolean isFinal =
                                recordedStep == RolloutStep.COMPLETED
                                        || recordedStep == RolloutStep.ROLLED_BACK;
                        recordedStep = isFinal ? recordedStep : step;
                    });
        }
    }

    /** A successor continues from the row and from the latest step that any host knows. */
    private void replaceCoordinator() {
        coordinatorReturnsAt = now + between(300, 1_000);
        decider = deciders.apply(routeShares.length);
        RolloutStep latest = recordedStep;
        for (Host host : hosts) {
            latest = host.step.compareTo(latest) > 0 ? host.step : latest;
        }
        decision = new RolloutDecision(latest, 0, "taken_over");
    }

    /** Decides the next step. */
    @FunctionalInterface
    interface Decider {
        RolloutDecision decide(RolloutSituation situation);
    }

    @SuppressWarnings("ArrayRecordComponent")
    private record Snapshot(
            ResponseCounts[] old,
            ResponseCounts[] target,
            long sent,
            long exposed,
            long oldInProgress) {}

    private final class Host {

        private final ResponseCounts[] old;
        private final ResponseCounts[] target;
        private long sent;
        private long exposed;
        private long oldInProgress;
        private Snapshot reported;
        private RolloutStep step = RolloutStep.SAMPLING;
        private double sampleShare;
        private long heardAt;

        private Host(int routes) {
            old = new ResponseCounts[routes];
            target = new ResponseCounts[routes];
            for (int route = 0; route < routes; route++) {
                old[route] = ResponseCounts.NONE;
                target[route] = ResponseCounts.NONE;
            }
            reported = snapshot();
        }

        /** A host that may still send to old servers has requests there. */
        private Snapshot snapshot() {
            long possible = MAY_SEND_TO_OLD.contains(step) ? 1 : 0;
            return new Snapshot(
                    old.clone(), target.clone(), sent, exposed, oldInProgress + possible);
        }

        private boolean isDrained() {
            return step == RolloutStep.MOVING && oldInProgress == 0;
        }

        private void learn(RolloutDecision announced) {
            boolean isFinal = step == RolloutStep.COMPLETED || step == RolloutStep.ROLLED_BACK;
            if (!isFinal && announced.step().compareTo(step) >= 0) {
                step = announced.step();
                sampleShare = announced.sampleShare();
                heardAt = now;
            }
        }

        private void send() {
            double expected = requestsPerTick / HOSTS;
            int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
            for (int request = 0; request < count; request++) {
                int route = drawRoute();
                sendOne(route, goesToTarget(route));
            }
        }

        private int drawRoute() {
            double draw = random.nextDouble();
            int route = 0;
            while (route < routeShares.length - 1 && draw >= routeShares[route]) {
                draw -= routeShares[route];
                route++;
            }
            return route;
        }

        /** The sample holds as many requests of each route. */
        private boolean goesToTarget(int route) {
            boolean isInContact = now - heardAt <= CONTACT_MILLISECONDS;
            double share = sampleShare / (routeShares.length * routeShares[route]);
            return switch (step) {
                case SAMPLING -> isInContact && random.nextDouble() < share;
                case MOVING -> isInContact;
                case COMPLETED -> true;
                case ROLLED_BACK -> false;
            };
        }

        private void sendOne(int route, boolean goesToTarget) {
            boolean counts = now <= durationMilliseconds;
            sent++;
            requests += counts ? 1 : 0;
            if (goesToTarget) {
                exposed++;
                exposedRequests += counts ? 1 : 0;
                lastExposureMilliseconds = counts ? now : lastExposureMilliseconds;
            } else {
                oldInProgress++;
            }
            boolean isBad = goesToTarget && isBadOn(route);
            boolean badResponse = isBad && random.nextDouble() < badShare;
            boolean isSlow =
                    (isBad && isSlowKind) ? badResponse : random.nextDouble() < USUAL_SLOW_SHARE;
            boolean fails =
                    (isBad && !isSlowKind) ? badResponse : random.nextDouble() < USUAL_FAILURES;
            boolean isTimed = !goesToTarget || now > COLD_MILLISECONDS;
            ResponseCounts added =
                    new ResponseCounts(
                            1, fails ? 1 : 0, isTimed ? 1 : 0, isTimed && isSlow ? 1 : 0);
            time.schedule(
                    isSlow ? 400 : 100,
                    () -> {
                        ResponseCounts[] counted = goesToTarget ? target : old;
                        counted[route] = counted[route].plus(added);
                        oldInProgress -= goesToTarget ? 0 : 1;
                        badResponses += badResponse ? 1 : 0;
                        if (badResponses >= 50 && fiftiethBadMilliseconds == Long.MAX_VALUE) {
                            fiftiethBadMilliseconds = now;
                        }
                    });
        }

        private boolean isBadOn(int route) {
            return kind != Kind.GOOD
                    && now >= badFromMilliseconds
                    && (kind != Kind.BAD_ON_ONE_ROUTE || route == 0);
        }
    }
}
