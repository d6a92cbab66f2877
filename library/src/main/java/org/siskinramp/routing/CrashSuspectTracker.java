package org.siskinramp.routing;

/**
 * Tracks the requests that were in progress on servers that crashed, and may have caused the crash.
 * Requests are identified by the hash of their content.
 */
public interface CrashSuspectTracker {

    /** Suspects no request and records nothing. */
    CrashSuspectTracker NONE =
            new CrashSuspectTracker() {
                @Override
                public boolean mustRunAlone(String contentHash) {
                    return false;
                }

                @Override
                public boolean isQuarantined(String contentHash) {
                    return false;
                }

                @Override
                public void recordBrokenConnection(String contentHash, String backendServer) {}

                @Override
                public void recordCrash(String contentHash, String backendServer) {}

                @Override
                public void recordCompletion(String contentHash) {}
            };

    /**
     * Tells whether a request may only run on a server that runs no other request.
     *
     * @param contentHash the content hash of the request
     * @return true if it was in progress on a server that crashed
     */
    boolean mustRunAlone(String contentHash);

    /**
     * Tells whether a request is quarantined: refused, since servers crashed repeatedly while they
     * ran it.
     *
     * @param contentHash the content hash of the request
     * @return true if it must not run
     */
    boolean isQuarantined(String contentHash);

    /**
     * Records that a connection broke while a server ran a request. Whether the server crashed is
     * not known yet.
     *
     * @param contentHash the content hash of the request
     * @param backendServer the name of the server
     */
    void recordBrokenConnection(String contentHash, String backendServer);

    /**
     * Records that a server crashed while it ran a request.
     *
     * @param contentHash the content hash of the request
     * @param backendServer the name of the server
     */
    void recordCrash(String contentHash, String backendServer);

    /**
     * Records that a server answered a request, which clears the request of suspicion.
     *
     * @param contentHash the content hash of the request
     */
    void recordCompletion(String contentHash);
}
