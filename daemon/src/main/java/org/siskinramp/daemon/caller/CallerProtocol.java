package org.siskinramp.daemon.caller;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;
import org.siskinramp.request.Answer;
import org.siskinramp.result.ResultException;

/** Maps requests, answers and refusals to and from the HTTP headers that callers use. */
public interface CallerProtocol {

    /**
     * Reads the head of a request. It is read again if the request could not be started early.
     *
     * @param request the head, with the time of its arrival
     * @return the accepted request
     * @throws ResultException if the request is refused
     */
    AcceptedRequest read(CallerRequest request);

    /**
     * Returns the identifier of a request, also of one that {@link #read} refuses.
     *
     * @param request the request
     * @return the identifier, or null if the request has none
     */
    String requestIdOf(Request request);

    /**
     * Adds the protocol headers of an answer.
     *
     * @param answer the answer
     * @param requestId the identifier of the request
     * @param headers the headers of the HTTP response
     */
    void addHeaders(Answer answer, String requestId, HttpFields.Mutable headers);

    /**
     * Adds the protocol headers of a refusal or a failure.
     *
     * @param refusal the refusal or failure
     * @param requestId the identifier of the request, or null if it has none
     * @param headers the headers of the HTTP response
     */
    void addHeaders(ResultException refusal, String requestId, HttpFields.Mutable headers);

    /**
     * Returns the HTTP status of a refusal or a failure.
     *
     * @param refusal the refusal or failure
     * @return the status
     */
    int statusOf(ResultException refusal);
}
