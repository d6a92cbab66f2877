package org.siskinramp.standin.platform;

/**
 * Holds the settings of the platform stand-in. Zero stands for no delay and for no limit.
 *
 * @param address where to listen, as {@code ip:port}
 * @param writeDelayMilliseconds how long a write takes, in milliseconds
 * @param readDelayMilliseconds how long a read takes, in milliseconds
 * @param hostListDelayMilliseconds how far the host list lags, in milliseconds
 * @param writesPerSecond how many writes are taken in a second
 * @param readsPerSecond how many reads are taken in a second
 */
public record PlatformSettings(
        String address,
        long writeDelayMilliseconds,
        long readDelayMilliseconds,
        long hostListDelayMilliseconds,
        int writesPerSecond,
        int readsPerSecond) {

    /**
     * Returns settings without delays and limits.
     *
     * @param address where to listen, as {@code ip:port}
     * @return the settings
     */
    public static PlatformSettings unlimited(String address) {
        return new PlatformSettings(address, 0, 0, 0, 0, 0);
    }
}
