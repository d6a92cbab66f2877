package org.siskinramp.quota;

/**
 * What this host did with the tokens of a workspace since its start.
 *
 * @param workspace the name of the workspace
 * @param used the requests that were admitted
 * @param refused the requests that were refused
 * @param given the tokens that were given to the reader
 * @param received the tokens that were received from the reader
 */
public record QuotaUsage(String workspace, long used, long refused, double given, double received) {

    /** Returns the number of requests that were decided. */
    long requests() {
        return used + refused;
    }
}
