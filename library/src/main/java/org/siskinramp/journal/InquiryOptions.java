package org.siskinramp.journal;

/**
 * Bounds what an inquiry takes for certain.
 *
 * @param longestRequestMilliseconds how long a request may take from its arrival to its end
 * @param clockMarginMilliseconds how far the clocks of hosts may differ
 */
public record InquiryOptions(long longestRequestMilliseconds, long clockMarginMilliseconds) {

    /** The options used unless told otherwise. */
    public static final InquiryOptions DEFAULT = new InquiryOptions(600_000, 5_000);
}
