package org.siskinramp.follow;

/**
 * A version of the platform's store. The store may be restored from an older copy: a new era
 * begins, and versions of the former era that were later than the copy are given out again. So a
 * later era comes after an earlier one, whatever the versions.
 *
 * <p>Everywhere else a version is one number, the position, which orders the versions of all eras.
 * In a store without eras it equals the version.
 *
 * @param era how often the store was restored, 0 if it has no eras
 * @param version the version within the era
 */
public record StoreVersion(long era, long version) {

    /** The highest era. */
    public static final long MAXIMUM_ERA = (1L << 19) - 1;

    private static final int VERSION_BITS = 44;

    /** The highest version within an era. */
    public static final long MAXIMUM_VERSION = (1L << VERSION_BITS) - 1;

    /**
     * Checks the ranges.
     *
     * @param era the era
     * @param version the version within the era
     * @throws IllegalArgumentException if a number is negative or too large
     */
    public StoreVersion {
        if (era < 0 || era > MAXIMUM_ERA || version < 0 || version > MAXIMUM_VERSION) {
            throw new IllegalArgumentException("era=" + era + " version=" + version);
        }
    }

    /**
     * Returns the version at a position.
     *
     * @param position a position, not negative
     * @return the era and the version within it
     */
    public static StoreVersion at(long position) {
        return new StoreVersion(position >>> VERSION_BITS, position & MAXIMUM_VERSION);
    }

    /**
     * Returns the position, which orders the versions of all eras.
     *
     * @return a number that is higher for a later version, and for a later era
     */
    public long position() {
        return era << VERSION_BITS | version;
    }
}
