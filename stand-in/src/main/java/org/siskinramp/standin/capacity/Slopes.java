package org.siskinramp.standin.capacity;

import java.util.Map;
import java.util.TreeMap;
import org.siskinramp.log.EventLog;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Runs the measurements by name. */
public final class Slopes {

    private static final Map<String, Slope> PARTS =
            new TreeMap<>(
                    Map.of(
                            "slot-map", new SlotMapSlope(),
                            "heartbeat", new HeartbeatSlope(),
                            "membership", new MembershipSlope(),
                            "routing", new RoutingSlope(),
                            "claims", new ClaimSlope(),
                            "configuration", new ConfigurationSlope()));

    private Slopes() {}

    /**
     * Measures all parts, or one.
     *
     * @param part the part's name, or an empty string for all
     * @param output where the lines go
     * @throws ResultException with {@code USAGE} if there is no such part
     */
    public static void measure(String part, EventLog output) {
        if (part.isEmpty()) {
            PARTS.values().forEach(slope -> slope.measure(output));
            return;
        }
        Slope slope = PARTS.get(part);
        if (slope == null) {
            throw new ResultException(
                    ResultCode.USAGE, "no part " + part + "; one of " + PARTS.keySet());
        }
        slope.measure(output);
    }
}
