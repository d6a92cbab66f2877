package org.siskinramp.daemon.caller;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.server.Request;

/**
 * Holds the head of a caller's request, whose body has not been read yet.
 *
 * @param method the method
 * @param uri the target
 * @param headers the headers in the order of their arrival
 * @param lengthBytes the {@code Content-Length}, or a negative number if there is none
 * @param arrivedMilliseconds monotonic milliseconds at which the head arrived; objectives and
 *     deadlines count from then
 */
public record CallerRequest(
        String method,
        HttpURI uri,
        HttpFields headers,
        long lengthBytes,
        long arrivedMilliseconds) {

    static CallerRequest of(Request request, long arrivedMilliseconds) {
        return new CallerRequest(
                request.getMethod(),
                request.getHttpURI(),
                request.getHeaders(),
                request.getLength(),
                arrivedMilliseconds);
    }
}
