package org.siskinramp.standin.platform;

import java.util.List;
import org.siskinramp.platform.ListedHost;

/**
 * The settings of the platform stand-in. Zero stands for no delay or no limit.
 *
 * @param address the address to listen on, as {@code ip:port}
 * @param writeDelayMilliseconds how long a write takes, in milliseconds
 * @param readDelayMilliseconds how long a read takes, in milliseconds
 * @param hostListDelayMilliseconds the time until a change of the host list takes effect, in
 *     milliseconds
 * @param writesPerSecond how many writes are accepted per second; further ones are refused
 * @param readsPerSecond how many reads are accepted per second; further ones are refused
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
     * Copies the list of hosts so that the settings are immutable.
     *
     * @param address the address to listen on
     * @param writeDelayMilliseconds the delay of writes
     * @param readDelayMilliseconds the delay of reads
     * @param hostListDelayMilliseconds the delay of changes of the host list
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
     * @param address the address to listen on, as {@code ip:port}
     * @return the settings
     */
    public static PlatformSettings unlimited(String address) {
        return new PlatformSettings(address, 0, 0, 0, 0, 0, List.of());
    }
}
