package org.siskinramp.quota;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import net.openhft.hashing.LongHashFunction;

/**
 * Chooses the readers that balance tokens between groups of hosts: the first two by name, each for
 * half of the workspaces, so that a reader exchanges messages with two others only. A killed reader
 * remains in the hosts table for minutes, so one that does not answer is passed over. Not
 * thread-safe; guarded by the lock of its owner.
 */
public final class BalancerSelector {

    private static final int BALANCERS = 2;

    /** Two reports to a reader that answers each of them at once. */
    private static final long SILENCE_MILLISECONDS = 1_200;

    private static final long PROBE_INTERVAL_MILLISECONDS = 2_000;
    private static final LongHashFunction HASH = LongHashFunction.xx();

    private final String self;
    private final TokenClock clock;
    private final Map<String, Long> unansweredSince = new HashMap<>();
    private final Map<String, Long> probedAt = new HashMap<>();
    private TreeSet<String> readers = new TreeSet<>();

    /**
     * Creates a selector without readers.
     *
     * @param self the name of this host
     * @param clock provides the time
     */
    public BalancerSelector(String self, TokenClock clock) {
        this.self = self;
        this.clock = clock;
    }

    /**
     * Replaces the readers.
     *
     * @param others the names of the other readers
     */
    public void updateReaders(List<String> others) {
        readers = new TreeSet<>(others);
        readers.add(self);
        unansweredSince.keySet().retainAll(readers);
        probedAt.keySet().retainAll(readers);
    }

    /**
     * Records a message that must be answered.
     *
     * @param host the receiver
     */
    public void recordSent(String host) {
        unansweredSince.putIfAbsent(host, clock.milliseconds());
    }

    /**
     * Records a message of a host.
     *
     * @param host the sender
     */
    public void recordReceived(String host) {
        unansweredSince.remove(host);
    }

    private boolean isSilent(String host) {
        Long since = unansweredSince.get(host);
        return since != null && clock.milliseconds() - since > SILENCE_MILLISECONDS;
    }

    /**
     * Returns the reader that balances a workspace.
     *
     * @param workspace the name of the workspace
     * @return a reader, which may be this host
     */
    public String balancerOf(String workspace) {
        List<String> balancers =
                readers.stream().filter(reader -> !isSilent(reader)).limit(BALANCERS).toList();
        long hash = HASH.hashBytes(workspace.getBytes(StandardCharsets.UTF_8));
        return balancers.isEmpty()
                ? self
                : balancers.get((int) Long.remainderUnsigned(hash, balancers.size()));
    }

    /**
     * Returns the silent readers to which a message without tokens should be sent now, since they
     * would balance if they answered again.
     *
     * @return the names of the readers, at most two
     */
    public List<String> takeProbes() {
        long now = clock.milliseconds();
        List<String> probes = new ArrayList<>();
        for (String reader : readers.stream().filter(this::isSilent).limit(BALANCERS).toList()) {
            Long previous = probedAt.get(reader);
            if (previous == null || now - previous >= PROBE_INTERVAL_MILLISECONDS) {
                probedAt.put(reader, now);
                probes.add(reader);
            }
        }
        return probes;
    }
}
