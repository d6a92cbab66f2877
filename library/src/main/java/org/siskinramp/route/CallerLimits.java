package org.siskinramp.route;

/**
 * Limits the requests and connections of callers.
 *
 * @param headerBytes the maximum total size of the headers of a request
 * @param bodyBytes the maximum size of the body of a request
 * @param headerMilliseconds the maximum time in which the headers of a request must arrive
 * @param idleMilliseconds the maximum time that a connection may be idle
 */
public record CallerLimits(
        int headerBytes, long bodyBytes, long headerMilliseconds, long idleMilliseconds) {}
