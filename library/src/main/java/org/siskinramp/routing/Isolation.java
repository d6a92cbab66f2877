package org.siskinramp.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Reserves at most one server of a service for requests that must run alone because they are
 * suspected of crashing servers. Only a server that this host coordinates can be reserved.
 *
 * <p>An isolation begins with a pause in which requests on the server complete. In the reservation
 * that follows only suspect requests start there, so that a caller that retries a suspect request
 * after its retry-after delay finds the server free. It is guarded by the lock of the service.
 */
final class Isolation {

    /** The wait if no server runs requests alone, which is too long for any deadline. */
    static final long NO_SERVER_WAIT_MILLISECONDS = Long.MAX_VALUE / 4;

    private static final int OTHER_SERVERS_PER_COLD_SERVER = 8;

    private final ServiceRoutingState state;
    private String backendServer = "";
    private long pauseEndsAt;
    private long reservationEndsAt;

    Isolation(ServiceRoutingState state) {
        this.state = state;
    }

    /**
     * Returns how long the pause lasts. It covers requests that a borrower starts in a slot that
     * was lent just before the pause.
     *
     * @return the duration in milliseconds
     */
    long pauseMilliseconds() {
        return state.service().timeLimitMilliseconds()
                + state.options().loanTermMilliseconds()
                + state.options().loanMarginMilliseconds();
    }

    /**
     * Tells whether a server is reserved for requests that must run alone.
     *
     * @param server the server's name
     * @param now monotonic milliseconds
     * @return true from the start of the pause to the end of the reservation
     */
    boolean isReserved(String server, long now) {
        return now < reservationEndsAt && backendServer.equals(server);
    }

    /**
     * Tells whether a request that starts in a slot would run alone on the server.
     *
     * @param slot the slot
     * @param now monotonic milliseconds
     * @return true for slot 0 of a server that this host coordinates, if its allowance is one and
     *     it is not paused
     */
    boolean isExclusive(Slot slot, long now) {
        ServerState server = state.servers().get(slot.key().backendServer());
        return slot.key().index() == 0 && allowsOneRequest(server) && !isPaused(server, now);
    }

    private static boolean allowsOneRequest(ServerState server) {
        return server.warmUp().isCoordinator() && server.warmUp().announcedAllowance() == 1;
    }

    private boolean isPaused(ServerState server, long now) {
        return now < pauseEndsAt && server.backendServer().name().equals(backendServer);
    }

    /**
     * Estimates how long a request that must run alone waits for a server.
     *
     * @param now monotonic milliseconds
     * @return the wait in milliseconds, or {@link #NO_SERVER_WAIT_MILLISECONDS} without such a
     *     server
     */
    long waitMilliseconds(long now) {
        return state.servers().values().stream()
                .filter(server -> server.takesNewWork() && allowsOneRequest(server))
                .mapToLong(server -> isPaused(server, now) ? pauseEndsAt - now : 0)
                .min()
                .orElse(NO_SERVER_WAIT_MILLISECONDS);
    }

    /**
     * Chooses the server to isolate. A service with a single server, or with many cold servers,
     * needs all of them and isolates none.
     *
     * @param now monotonic milliseconds
     * @return the warm server with the fewest requests of this host in progress, among those that
     *     this host coordinates; empty if one is isolated already or none can be
     */
    Optional<ServerState> candidate(long now) {
        if (now < reservationEndsAt || waitMilliseconds(now) < NO_SERVER_WAIT_MILLISECONDS) {
            return Optional.empty();
        }
        List<ServerState> available =
                state.servers().values().stream().filter(ServerState::takesNewWork).toList();
        long coldServers = available.stream().filter(server -> !server.warmUp().isWarm()).count();
        if (available.size() < 2
                || coldServers > (available.size() - 1) / OTHER_SERVERS_PER_COLD_SERVER) {
            return Optional.empty();
        }
        return available.stream()
                .filter(server -> server.warmUp().isCoordinator() && server.warmUp().isWarm())
                .min(Comparator.comparingInt(ServerState::requestsInProgress));
    }

    /**
     * Isolates a server.
     *
     * @param server the server, which this host coordinates
     * @param now monotonic milliseconds
     */
    void begin(ServerState server, long now) {
        backendServer = server.backendServer().name();
        pauseEndsAt = now + pauseMilliseconds();
        reservationEndsAt = pauseEndsAt + state.service().timeLimitMilliseconds();
        server.warmUp().isolate(pauseEndsAt);
    }
}
