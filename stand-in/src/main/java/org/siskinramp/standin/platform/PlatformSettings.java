package org.siskinramp.standin.platform;

import java.util.List;
import org.siskinramp.platform.ListedHost;

/**
 * Holds the settings of the platform stand-in. Zero stands for no delay and for no limit.
 *
 * @param address where to listen, as {@code ip:port}
 * @param writeDelayMilliseconds how long a write takes, in milliseconds
 * @param readDelayMilliseconds how long a read takes, in milliseconds
 * @param hostListDelayMilliseconds how far the host list lags, in milliseconds
 * @param writesPerSecond how many writes are taken in a second
 * @param readsPerSecond how many reads are taken in a second
 * @param hosts the entry hosts that are listed from the start
 */
public record PlatformSettings(
        String address,
        long writeDelayMilliseconds,
        long readDelayMilliseconds,
        long hostListDelayMilliseconds,
        int writesPerSecond,
        int readsPerSecond,
        List<ListedHost> hosts) {

    /**
     * Copies the hosts so that the settings cannot change.
     *
     * @param address where to listen
     * @param writeDelayMilliseconds the write delay
     * @param readDelayMilliseconds the read delay
     * @param hostListDelayMilliseconds the lag of the host list
     * @param writesPerSecond the limit of writes
     * @param readsPerSecond the limit of reads
     * @param hosts the entry hosts
     */
    public PlatformSettings {
        hosts = List.copyOf(hosts);
    }

    /**
     * Returns settings without delays and limits.
     *
     * @param address where to listen, as {@code ip:port}
     * @return the settings
     */
    public static PlatformSettings unlimited(String address) {
        return new PlatformSettings(address, 0, 0, 0, 0, 0, List.of());
    }
}
