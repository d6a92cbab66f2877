package org.siskinramp.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.siskinramp.peer.Acknowledgement;

/**
 * Keeps the promises of this host as a member: whom it acknowledges and whom it suspects.
 *
 * <p>An acknowledgement binds this host until a lease term after the heartbeat arrived, a suspicion
 * until a lease term after it was last said.
 */
final class Promises {

    private static final long NEVER = Long.MIN_VALUE / 4;

    private final MembershipOptions options;
    private final long silentUntil;
    private final Map<String, Promise> promises = new HashMap<>();

    Promises(MembershipOptions options, long startedAt) {
        this.options = options;
        silentUntil =
                options.has(Safeguard.START_SILENCE)
                        ? startedAt + options.silenceMilliseconds()
                        : startedAt;
    }

    /**
     * Starts to expect heartbeats of hosts, and forgets promises about others that have run out.
     */
    void watch(Set<String> hosts, long now) {
        promises.values().removeIf(promise -> !hosts.contains(promise.host) && promise.isOver(now));
        for (String host : hosts) {
            Promise promise = promises.computeIfAbsent(host, Promise::new);
            if (!promise.watched) {
                promise.heardAt = Math.max(now, silentUntil);
            }
        }
        promises.values().forEach(promise -> promise.watched = hosts.contains(promise.host));
    }

    /** Notes a heartbeat that may be acknowledged, and acknowledges it if no promise forbids it. */
    void hear(String host, Acknowledgement heartbeat, long now) {
        Promise promise = promises.computeIfAbsent(host, Promise::new);
        if (heartbeat.incarnation().equals(promise.signedOffIncarnation)) {
            return;
        }
        promise.heardAt = Math.max(promise.heardAt, now);
        promise.suspecting = false;
        if (now >= silentUntil && promise.allows(heartbeat.incarnation(), now)) {
            promise.acknowledged = heartbeat;
            promise.acknowledgedAt = now;
        }
    }

    /** Suspects an incarnation that said itself that it starts nothing any more. */
    void signOff(String host, String incarnation, long now) {
        Promise promise = promises.computeIfAbsent(host, Promise::new);
        promise.signedOffIncarnation = incarnation;
        if (now >= silentUntil && promise.acknowledges(incarnation)) {
            promise.suspect();
        }
    }

    /** Suspects the watched hosts that were not heard for long, and renews all suspicions. */
    void sayOnce(long now) {
        for (Promise promise : promises.values()) {
            if (promise.watched && now >= silentUntil && promise.isDue(now)) {
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

    /** Returns the hosts that this host said it suspects, in no particular order. */
    List<String> suspected() {
        List<String> suspected = new ArrayList<>();
        for (Promise promise : promises.values()) {
            if (promise.suspecting) {
                suspected.add(promise.host);
            }
        }
        return suspected;
    }

    /** Returns until when this host's own suspicion of a host counts, or a time long past. */
    long suspectsUntil(String host) {
        Promise promise = promises.get(host);
        return promise != null && promise.suspecting
                ? promise.suspectedAt + options.leaseTermMilliseconds()
                : NEVER;
    }

    private final class Promise {

        private final String host;
        private boolean watched;
        private boolean suspecting;
        private long heardAt = NEVER;
        private long acknowledgedAt = NEVER;
        private long suspectedAt = NEVER;
        private Acknowledgement acknowledged;
        private String signedOffIncarnation;

        private Promise(String host) {
            this.host = host;
        }

        private boolean acknowledges(String incarnation) {
            return acknowledged == null || acknowledged.incarnation().equals(incarnation);
        }

        private boolean allows(String incarnation, long now) {
            if (!options.has(Safeguard.SEPARATE_PROMISES)) {
                return true;
            }
            return now >= suspectedAt + options.promiseMilliseconds()
                    && (acknowledges(incarnation)
                            || now >= acknowledgedAt + options.promiseMilliseconds());
        }

        private boolean isDue(long now) {
            long patience =
                    options.has(Safeguard.SEPARATE_PROMISES)
                            ? options.promiseMilliseconds()
                            : options.promiseMilliseconds() / 2;
            return now >= Math.max(heardAt, acknowledgedAt) + patience;
        }

        private boolean isOver(long now) {
            long latest = Math.max(acknowledgedAt, suspectedAt);
            return now >= latest + options.promiseMilliseconds() && !suspecting;
        }

        private void suspect() {
            suspecting = true;
            acknowledged = null;
        }
    }
}
