package org.siskinramp.configuration;

import java.util.List;
import java.util.Optional;
import org.siskinramp.request.RequestKind;

/**
 * Describes a service.
 *
 * @param name its unique name
 * @param pathPrefix the path prefix of its requests, such as {@code /dispatch}
 * @param timeLimitMilliseconds the longest time that a request may take, in milliseconds
 * @param queueLimit how many requests may wait on one entry host
 * @param kinds the kinds of request, of which the first match applies
 * @param state whether it takes new work
 */
public record Service(
        String name,
        String pathPrefix,
        long timeLimitMilliseconds,
        int queueLimit,
        List<RequestKind> kinds,
        AdministrativeState state) {

    /**
     * Copies the kinds, so that the service is immutable.
     *
     * @param name the name
     * @param pathPrefix the path prefix
     * @param timeLimitMilliseconds the time limit
     * @param queueLimit the queue limit
     * @param kinds the kinds
     * @param state the state
     */
    public Service {
        kinds = List.copyOf(kinds);
    }

    /**
     * Finds the kind of a request.
     *
     * @param method the HTTP method
     * @param path the path without the query
     * @return the first kind that matches
     */
    public Optional<RequestKind> kindOf(String method, String path) {
        return kinds.stream().filter(kind -> kind.matches(method, path)).findFirst();
    }

    /**
     * Tells whether a path belongs to this service.
     *
     * @param path the path without the query
     * @return true for the prefix itself and everything below it
     */
    public boolean matchesPath(String path) {
        return path.equals(pathPrefix) || path.startsWith(pathPrefix + "/");
    }
}
