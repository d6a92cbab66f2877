package org.siskinramp.peer;

/**
 * Identifies a route by the requests that it matches.
 *
 * @param host the host name of the requests
 * @param prefix the path prefix of the requests
 */
public record RoutePath(String host, String prefix) {}
