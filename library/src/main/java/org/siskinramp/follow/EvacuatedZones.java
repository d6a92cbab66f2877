package org.siskinramp.follow;

import java.util.HashSet;
import java.util.Set;

/** Follows which availability zones operators have evacuated. Guarded by its owner. */
public final class EvacuatedZones {

    private final Set<String> names = new HashSet<>();

    /**
     * Takes changes of the operator's table in; the routes among them are passed over.
     *
     * @param changes what was read
     */
    public void follow(Changes<OperatorChange> changes) {
        if (changes.whole()) {
            names.clear();
        }
        for (OperatorChange change : changes.items()) {
            if (change instanceof OperatorChange.Evacuation evacuation) {
                follow(evacuation);
            }
        }
    }

    private void follow(OperatorChange.Evacuation evacuation) {
        if (evacuation.evacuated()) {
            names.add(evacuation.availabilityZone());
        } else {
            names.remove(evacuation.availabilityZone());
        }
    }

    /**
     * Returns the evacuated zones.
     *
     * @return a copy of their names
     */
    public Set<String> names() {
        return Set.copyOf(names);
    }
}
