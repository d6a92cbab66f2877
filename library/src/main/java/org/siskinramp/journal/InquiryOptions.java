package org.siskinramp.journal;

/**
 * Holds the limits by which an inquiry concludes that requests have ended.
 *
 * @param maximumRequestMilliseconds the maximum duration of a request, in milliseconds
 * @param clockMarginMilliseconds by how much the calendar clocks of hosts may differ, in
 *     milliseconds
 */
public record InquiryOptions(long maximumRequestMilliseconds, long clockMarginMilliseconds) {

    /** The default options. */
    public static final InquiryOptions DEFAULT = new InquiryOptions(600_000, 5_000);
}
