package org.siskinramp.standin.upstream;

import java.util.List;
import org.siskinramp.request.Header;

/** Is notified of the requests that a backend server receives and runs. */
public interface RunListener {

    /** Ignores all requests. */
    RunListener NONE =
            new RunListener() {
                @Override
                public void started(String requestId) {}

                @Override
                public void ended(String requestId) {}
            };

    /**
     * Is called when the server receives a request, which it may not run, or a probe.
     *
     * @param fields the fields of the header and of the trailer
     */
    default void received(List<Header> fields) {}

    /**
     * Is called when the server starts to run a request.
     *
     * @param requestId the identifier of the request
     */
    void started(String requestId);

    /**
     * Is called when the server has run a request to its end, and when it finds that the connection
     * of a running request was closed. Both may happen to the same request.
     *
     * @param requestId the identifier of the request
     */
    void ended(String requestId);
}
