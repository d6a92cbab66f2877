package org.siskinramp.routing;

/** Tells and is told which requests were in progress on servers that stopped. */
public interface RequestSuspicion {

    /** Suspects nothing and forgets everything. */
    RequestSuspicion NONE =
            new RequestSuspicion() {
                @Override
                public boolean mustRunAlone(String contentHash) {
                    return false;
                }

                @Override
                public boolean isQuarantined(String contentHash) {
                    return false;
                }

                @Override
                public void connectionBroke(String contentHash, String backendServer) {}

                @Override
                public void serverStopped(String contentHash, String backendServer) {}

                @Override
                public void ranToEnd(String contentHash) {}
            };

    /**
     * Tells whether a request may only run alone on a server.
     *
     * @param contentHash the hash of the request
     * @return true if it was in progress on a server that stopped
     */
    boolean mustRunAlone(String contentHash);

    /**
     * Tells whether a request is refused, since servers stopped again while they ran it.
     *
     * @param contentHash the hash of the request
     * @return true if it must not run
     */
    boolean isQuarantined(String contentHash);

    /**
     * Records that a connection broke while a server ran a request. Whether the server stopped is
     * not known yet.
     *
     * @param contentHash the hash of the request
     * @param backendServer the server
     */
    void connectionBroke(String contentHash, String backendServer);

    /**
     * Records that a server stopped while it ran a request.
     *
     * @param contentHash the hash of the request
     * @param backendServer the server that stopped
     */
    void serverStopped(String contentHash, String backendServer);

    /**
     * Records that a server answered a request, which clears the request of suspicion.
     *
     * @param contentHash the hash of the request
     */
    void ranToEnd(String contentHash);
}
