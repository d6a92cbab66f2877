package org.siskinramp.follow;

import java.util.HashSet;
import java.util.Set;

/** Keeps the set of evacuated availability zones. Not thread-safe; its owner guards it. */
public final class EvacuatedZones {

    private final Set<String> names = new HashSet<>();

    /**
     * Applies changes of the operator table; changes of routes are ignored. Zones that are missing
     * from a restored snapshot stay evacuated, since operators may not have written them again yet.
     *
     * @param changes the changes
     */
    public void apply(Changes<OperatorChange> changes) {
        if (changes.isSnapshot() && !changes.isRestored()) {
            names.clear();
        }
        for (OperatorChange change : changes.items()) {
            if (change instanceof OperatorChange.Evacuation evacuation) {
                apply(evacuation);
            }
        }
    }

    private void apply(OperatorChange.Evacuation evacuation) {
        if (evacuation.evacuated()) {
            names.add(evacuation.availabilityZone());
        } else {
            names.remove(evacuation.availabilityZone());
        }
    }

    /**
     * Returns the evacuated availability zones.
     *
     * @return a copy of their names
     */
    public Set<String> names() {
        return Set.copyOf(names);
    }
}
