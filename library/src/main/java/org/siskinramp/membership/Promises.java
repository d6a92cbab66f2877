package org.siskinramp.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.siskinramp.peer.Acknowledgement;

/**
 * Keeps the promises that this host has made as a member: which hosts it acknowledges and which it
 * suspects.
 *
 * <p>An acknowledgement binds this host until a lease term after the heartbeat arrived, a suspicion
 * until a lease term after it was last sent.
 */
final class Promises {

    /** Stands for "never"; far enough from the limit that sums and differences do not overflow. */
    private static final long DISTANT_PAST_MILLISECONDS = Long.MIN_VALUE / 4;

    private final MembershipOptions options;
    private final long startupSilenceUntil;
    private final Map<String, Promise> promises = new HashMap<>();

    Promises(MembershipOptions options, long startedAt) {
        this.options = options;
        startupSilenceUntil =
                options.has(Safeguard.START_SILENCE)
                        ? startedAt + options.startupSilenceMilliseconds()
                        : startedAt;
    }

    /**
     * Sets the hosts that should send heartbeats, and removes expired promises about other hosts.
     */
    void setMonitoredHosts(Set<String> hosts, long now) {
        promises.values()
                .removeIf(promise -> !hosts.contains(promise.host) && promise.hasExpired(now));
        for (String host : hosts) {
            Promise promise = promises.computeIfAbsent(host, Promise::new);
            if (!promise.monitored) {
                promise.lastHeartbeatAt = Math.max(now, startupSilenceUntil);
            }
        }
        promises.values().forEach(promise -> promise.monitored = hosts.contains(promise.host));
    }

    /**
     * Records a heartbeat that may be acknowledged, and acknowledges it unless an earlier promise
     * forbids this.
     */
    void recordHeartbeat(String host, Acknowledgement heartbeat, long now) {
        Promise promise = promises.computeIfAbsent(host, Promise::new);
        if (heartbeat.incarnation().equals(promise.stoppingIncarnation)) {
            return;
        }
        promise.lastHeartbeatAt = Math.max(promise.lastHeartbeatAt, now);
        promise.suspecting = false;
        if (now >= startupSilenceUntil
                && promise.allowsAcknowledgement(heartbeat.incarnation(), now)) {
            promise.acknowledged = heartbeat;
            promise.acknowledgedAt = now;
        }
    }

    /** Suspects an incarnation that has announced its shutdown and starts no more requests. */
    void recordShutdown(String host, String incarnation, long now) {
        Promise promise = promises.computeIfAbsent(host, Promise::new);
        promise.stoppingIncarnation = incarnation;
        if (now >= startupSilenceUntil && promise.mayAcknowledge(incarnation)) {
            promise.suspect();
        }
    }

    /** Suspects the monitored hosts whose heartbeats are overdue, and renews all suspicions. */
    void updateSuspicions(long now) {
        for (Promise promise : promises.values()) {
            if (promise.monitored
                    && now >= startupSilenceUntil
                    && promise.isHeartbeatOverdue(now)) {
                promise.suspect();
            }
            if (promise.suspecting) {
                promise.suspectedAt = now;
            }
        }
    }

    Optional<Acknowledgement> acknowledgement(String host) {
        Promise promise = promises.get(host);
        return promise == null ? Optional.empty() : Optional.ofNullable(promise.acknowledged);
    }

    /** Returns the hosts that this host suspects, in no particular order. */
    List<String> suspectedHosts() {
        List<String> suspected = new ArrayList<>();
        for (Promise promise : promises.values()) {
            if (promise.suspecting) {
                suspected.add(promise.host);
            }
        }
        return suspected;
    }

    /**
     * Returns until when this host's own suspicion of a host counts, or a time in the distant past
     * if there is none.
     */
    long suspectsUntil(String host) {
        Promise promise = promises.get(host);
        return promise != null && promise.suspecting
                ? promise.suspectedAt + options.leaseTermMilliseconds()
                : DISTANT_PAST_MILLISECONDS;
    }

    private final class Promise {

        private final String host;
        private boolean monitored;
        private boolean suspecting;
        private long lastHeartbeatAt = DISTANT_PAST_MILLISECONDS;
        private long acknowledgedAt = DISTANT_PAST_MILLISECONDS;
        private long suspectedAt = DISTANT_PAST_MILLISECONDS;
        private Acknowledgement acknowledged;
        private String stoppingIncarnation;

        private Promise(String host) {
            this.host = host;
        }

        private boolean mayAcknowledge(String incarnation) {
            return acknowledged == null || acknowledged.incarnation().equals(incarnation);
        }

        private boolean allowsAcknowledgement(String incarnation, long now) {
            if (!options.has(Safeguard.SEPARATE_PROMISES)) {
                return true;
            }
            return now >= suspectedAt + options.promiseMilliseconds()
                    && (mayAcknowledge(incarnation)
                            || now >= acknowledgedAt + options.promiseMilliseconds());
        }

        private boolean isHeartbeatOverdue(long now) {
            long timeout =
                    options.has(Safeguard.SEPARATE_PROMISES)
                            ? options.promiseMilliseconds()
                            : options.promiseMilliseconds() / 2;
            return now >= Math.max(lastHeartbeatAt, acknowledgedAt) + timeout;
        }

        private boolean hasExpired(long now) {
            long latest = Math.max(acknowledgedAt, suspectedAt);
            return now >= latest + options.promiseMilliseconds() && !suspecting;
        }

        private void suspect() {
            suspecting = true;
            acknowledged = null;
        }
    }
}
