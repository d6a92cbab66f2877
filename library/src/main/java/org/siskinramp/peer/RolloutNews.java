package org.siskinramp.peer;

import java.util.List;
import org.siskinramp.rollout.RolloutReport;

/**
 * Announces the orders of roll-outs that the sender knows, and their stages. An order that is not
 * in the message is not changed by it.
 *
 * @param reports the orders in force, and those removed a short time ago
 */
public record RolloutNews(List<RolloutReport> reports) implements PeerMessage {

    /**
     * Copies the list so that the message cannot change.
     *
     * @param reports the orders
     */
    public RolloutNews {
        reports = List.copyOf(reports);
    }
}
