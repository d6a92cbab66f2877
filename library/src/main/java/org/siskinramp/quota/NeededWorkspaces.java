package org.siskinramp.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers the workspaces of which some host needs tokens, so that no messages are sent for all
 * others. Not thread-safe; guarded by the lock of its owner.
 */
public final class NeededWorkspaces {

    /** Survives two lost messages of those that repeat the names once a second. */
    private static final long MEMORY_MILLISECONDS = 3_000;

    private final QuotaTable table;
    private final TokenClock clock;
    private final Map<String, Long> neededUntil = new HashMap<>();
    private boolean hasNew;

    /**
     * Creates an empty memory.
     *
     * @param table the quotas of the configuration in force
     * @param clock provides the time
     */
    public NeededWorkspaces(QuotaTable table, TokenClock clock) {
        this.table = table;
        this.clock = clock;
    }

    /**
     * Records needed workspaces.
     *
     * @param workspaces their names; those without a quota are ignored
     */
    public void add(Collection<String> workspaces) {
        long now = clock.milliseconds();
        for (String workspace : workspaces) {
            if (table.find(workspace).isPresent()) {
                Long until = neededUntil.put(workspace, now + MEMORY_MILLISECONDS);
                hasNew |= until == null || until <= now;
            }
        }
    }

    /**
     * Tells whether a workspace was added that was not known since the last call.
     *
     * @return whether there is a new one
     */
    public boolean takeNew() {
        boolean result = hasNew;
        hasNew = false;
        return result;
    }

    /**
     * Returns the workspaces of which some host needs tokens.
     *
     * @return their names, sorted
     */
    public List<String> current() {
        long now = clock.milliseconds();
        neededUntil.values().removeIf(until -> until <= now);
        return neededUntil.keySet().stream().sorted().toList();
    }
}
