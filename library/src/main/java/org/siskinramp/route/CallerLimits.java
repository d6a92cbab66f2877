package org.siskinramp.route;

/**
 * Bounds what a caller may send and how long it may stay idle.
 *
 * @param headerBytes the largest size of all headers of a request together
 * @param bodyBytes the largest body of a request
 * @param headerMilliseconds how long the headers of a request may take to arrive
 * @param idleMilliseconds how long a connection may stay idle
 */
public record CallerLimits(
        int headerBytes, long bodyBytes, long headerMilliseconds, long idleMilliseconds) {}
