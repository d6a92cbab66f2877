package org.siskinramp.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Keeps at most one judged server of a service free for requests that must run alone: first a pause
 * in which other requests end, then a time in which only suspects start there, so that a caller
 * that was told to come back finds it free. It is guarded by the lock of the service.
 */
final class Isolation {

    /** The longest wait, which no deadline reaches. */
    static final long NO_SERVER_MILLISECONDS = Long.MAX_VALUE / 4;

    private static final int SERVERS_FOR_EACH_COLD_ONE = 8;

    private final ServiceState state;
    private String backendServer = "";
    private long pauseEnds;
    private long reservationEnds;

    Isolation(ServiceState state) {
        this.state = state;
    }

    /**
     * Returns how long other requests are given to end: those that start in a slot which was lent
     * just before also count.
     *
     * @return milliseconds
     */
    long pauseMilliseconds() {
        return state.service().timeLimitMilliseconds()
                + state.options().loanTermMilliseconds()
                + state.options().slotMarginMilliseconds();
    }

    /**
     * Tells whether a server is kept from ordinary requests.
     *
     * @param server the server's name
     * @param now monotonic milliseconds
     * @return true from the start of the isolation to the end of the reservation
     */
    boolean isReserved(String server, long now) {
        return now < reservationEnds && backendServer.equals(server);
    }

    /**
     * Tells whether a request that starts in a slot is the only one on the server.
     *
     * @param slot the slot
     * @param now monotonic milliseconds
     * @return true for slot 0 of a judged server that bears one request
     */
    boolean isAlone(Slot slot, long now) {
        ServerState server = state.servers().get(slot.key().backendServer());
        return slot.key().index() == 0 && bearsOne(server) && !isPaused(server, now);
    }

    private static boolean bearsOne(ServerState server) {
        return server.warmth().isJudge() && server.warmth().judgedAllowance() == 1;
    }

    private boolean isPaused(ServerState server, long now) {
        return now < pauseEnds && server.backendServer().name().equals(backendServer);
    }

    /**
     * Estimates how long a suspect waits for a server of its own.
     *
     * @param now monotonic milliseconds
     * @return milliseconds, or {@link #NO_SERVER_MILLISECONDS} without such a server
     */
    long waitMilliseconds(long now) {
        return state.servers().values().stream()
                .filter(server -> server.takesNewWork() && bearsOne(server))
                .mapToLong(server -> isPaused(server, now) ? pauseEnds - now : 0)
                .min()
                .orElse(NO_SERVER_MILLISECONDS);
    }

    /**
     * Chooses the server to isolate. A service with many cold servers, or with one server only,
     * spares none.
     *
     * @param now monotonic milliseconds
     * @return the least busy judged server, or empty if there is one already or none to spare
     */
    Optional<ServerState> candidate(long now) {
        if (now < reservationEnds || waitMilliseconds(now) < NO_SERVER_MILLISECONDS) {
            return Optional.empty();
        }
        List<ServerState> open =
                state.servers().values().stream().filter(ServerState::takesNewWork).toList();
        long cold = open.stream().filter(server -> !server.warmth().isWarm()).count();
        if (open.size() < 2 || cold > (open.size() - 1) / SERVERS_FOR_EACH_COLD_ONE) {
            return Optional.empty();
        }
        return open.stream()
                .filter(server -> server.warmth().isJudge() && server.warmth().isWarm())
                .min(Comparator.comparingInt(ServerState::requestsInProgress));
    }

    /**
     * Isolates a server.
     *
     * @param server the server, judged by this host
     * @param now monotonic milliseconds
     */
    void begin(ServerState server, long now) {
        backendServer = server.backendServer().name();
        pauseEnds = now + pauseMilliseconds();
        reservationEnds = pauseEnds + state.service().timeLimitMilliseconds();
        server.warmth().isolate(pauseEnds);
    }
}
