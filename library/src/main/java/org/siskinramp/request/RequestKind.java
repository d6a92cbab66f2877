package org.siskinramp.request;

/**
 * Describes a kind of request that a service processes.
 *
 * @param name the name of the kind, such as {@code read}
 * @param method the HTTP method that it matches, or {@code *} for any
 * @param pathPrefix the path prefix that it matches
 * @param idempotent whether a request may run more than once
 * @param weight its priority in the queue, the higher goes first, and its weight when answered
 *     requests are counted
 */
public record RequestKind(
        String name, String method, String pathPrefix, boolean idempotent, int weight) {

    /**
     * Tells whether a request is of this kind.
     *
     * @param requestMethod the HTTP method
     * @param path the path without the query
     * @return true if method and path match
     */
    public boolean matches(String requestMethod, String path) {
        return (method.equals("*") || method.equals(requestMethod)) && path.startsWith(pathPrefix);
    }
}
