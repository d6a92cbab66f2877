package org.siskinramp.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;
import org.siskinramp.rollout.RolloutDuty;

/**
 * Orders the hosts that may record the state of an order: the readers by rendezvous hash of service
 * and host, then all other hosts, which act only if no reader can write to the store.
 */
public final class RolloutTurn implements RolloutDuty {

    /** A write takes less, and what it says has then reached the readers. */
    private static final long READER_INTERVAL_MILLISECONDS = 300;

    /** Readers that fail to write have been waited for by then in deployments of up to 96 hosts. */
    private static final long OTHERS_DELAY_MILLISECONDS = 900;

    /** Spreads the attempts of other hosts, which learn at once of the first that succeeds. */
    private static final int OTHERS_SPREAD_MILLISECONDS = 500;

    private final String self;
    private final RelayTopology topology;

    /**
     * Creates the order of turns.
     *
     * @param self the name of this host
     * @param topology provides the readers
     */
    public RolloutTurn(String self, RelayTopology topology) {
        this.self = self;
        this.topology = topology;
    }

    @Override
    public long delayMilliseconds(String service) {
        if (!topology.isReader()) {
            return OTHERS_DELAY_MILLISECONDS
                    + Math.floorMod(hash(service, self), OTHERS_SPREAD_MILLISECONDS);
        }
        List<String> readers = new ArrayList<>(topology.readers());
        readers.add(self);
        readers.sort(Comparator.comparingLong(reader -> hash(service, reader)));
        return Math.min(
                readers.indexOf(self) * READER_INTERVAL_MILLISECONDS, OTHERS_DELAY_MILLISECONDS);
    }

    private static long hash(String service, String host) {
        return LongHashFunction.xx().hashChars(service + '/' + host);
    }
}
