package org.siskinramp.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.siskinramp.attempt.AttemptAnswer;
import org.siskinramp.attempt.AttemptException;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.configuration.Service;
import org.siskinramp.peer.LoanAsk;
import org.siskinramp.peer.LoanGrant;
import org.siskinramp.peer.LoanReturn;
import org.siskinramp.peer.ServerAllowance;
import org.siskinramp.request.Request;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.slot.SlotKey;

/**
 * Routes the requests of one service.
 *
 * <p>Every public method takes the lock of the service; those that change its state run the
 * deferred actions after they have released the lock.
 */
public final class ServiceRouter {

    private final ReentrantLock lock = new ReentrantLock();
    private final ServiceRoutingState state;
    private final ServerMonitor monitor;
    private final Dispatcher dispatcher;
    private final SlotLoanManager loanManager;
    private final RoutingEnvironment environment;

    /**
     * Creates a router without servers or slots.
     *
     * @param environment the interfaces to the rest of the entry host
     * @param options the options of the routing
     * @param service the service
     * @param loanMessageLimiter the rate limit on loan messages, shared by all services of this
     *     host
     * @param messenger sends messages on the allowances of backend servers to other hosts
     */
    public ServiceRouter(
            RoutingEnvironment environment,
            RoutingOptions options,
            Service service,
            MessageRateLimiter loanMessageLimiter,
            AllowanceMessenger messenger) {
        this.environment = environment;
        this.state = new ServiceRoutingState(environment, options, service);
        this.monitor = new ServerMonitor(state, new MonitorNotifier(messenger));
        this.dispatcher = new Dispatcher(state, monitor, new Listener());
        this.loanManager =
                new SlotLoanManager(state, loanMessageLimiter, () -> locked(this::processPending));
    }

    /**
     * Routes a request: sends it to a server at once, queues it, or refuses it.
     *
     * @param request the request
     * @return the routed request, whose future completes with the answer
     */
    public RoutedRequest submit(Request request) {
        RoutedRequest routed = new RoutedRequest(request);
        locked(
                deferred -> {
                    dispatcher.submit(routed, deferred);
                    processPending(deferred);
                });
        return routed;
    }

    /**
     * Tells whether a request would be refused at once, without sending or queueing it.
     *
     * @param request the request
     * @return the refusal, or empty if the request would be sent or queued
     */
    public Optional<ResultException> refusalOf(Request request) {
        RoutedRequest routed = new RoutedRequest(request);
        lock.lock();
        try {
            return dispatcher
                    .admission()
                    .refusalOf(routed)
                    .map(
                            code ->
                                    new ResultException(
                                            code,
                                            "request=" + request.key(),
                                            dispatcher.admission().retryAfterMilliseconds(routed)));
        } finally {
            lock.unlock();
        }
    }

    /**
     * Applies a configuration that contains this service.
     *
     * @param configuration the configuration
     */
    public void apply(Configuration configuration) {
        locked(
                deferred -> {
                    state.applyConfiguration(configuration);
                    monitor.updateCoordinatorRoles();
                    processPending(deferred);
                });
    }

    /**
     * Applies the slot assignment of the membership.
     *
     * @param held the slots of this service that are now assigned to this host
     */
    public void applyHoldings(Set<SlotKey> held) {
        locked(
                deferred -> {
                    state.slots().setHeldSlots(held);
                    monitor.updateCoordinatorRoles();
                    processPending(deferred);
                });
    }

    /**
     * Does the periodic work: sends probes that are due, requests missing allowances, and takes
     * back slots whose loan has expired.
     */
    public void tick() {
        locked(
                deferred -> {
                    monitor.checkServers(deferred);
                    processPending(deferred);
                });
    }

    private void processPending(DeferredActions deferred) {
        loanManager.expireLoans();
        if (!state.hasServerForNewWork()) {
            dispatcher.refuseWaiting(ResultCode.NO_BACKEND_SERVER, deferred);
        }
        dispatcher.startWaiting(deferred);
        loanManager.requestLoanIfNeeded(deferred);
        loanManager.returnIdleSlots(deferred);
        for (SlotKey released : state.slots().removeReleased(state.now())) {
            deferred.add(() -> environment.slotReleaseListener().released(released));
        }
    }

    /**
     * Answers a loan request of another host.
     *
     * @param host the asking host
     * @param ask the loan request
     */
    public void receive(String host, LoanAsk ask) {
        locked(deferred -> loanManager.lend(host, ask, deferred));
    }

    /**
     * Accepts the slots that another host lends.
     *
     * @param host the lending host
     * @param grant the loans
     */
    public void receive(String host, LoanGrant grant) {
        locked(
                deferred -> {
                    loanManager.borrow(host, grant, deferred);
                    processPending(deferred);
                });
    }

    /**
     * Takes back the slots that another host returns.
     *
     * @param host the returning host
     * @param message the loans that end
     */
    public void receive(String host, LoanReturn message) {
        locked(
                deferred -> {
                    loanManager.acceptReturn(host, message);
                    processPending(deferred);
                });
    }

    /**
     * Handles another host's report that a server must be treated as cold.
     *
     * @param backendServer the name of the server
     * @param bootIdentity the boot identity that the other host knows, or an empty string
     */
    public void handleColdSighting(String backendServer, String bootIdentity) {
        locked(deferred -> monitor.handleColdSighting(backendServer, bootIdentity, deferred));
    }

    /**
     * Lists a server in the next heartbeats of this host, if it is the server's coordinator.
     *
     * @param backendServer the name of the server
     */
    public void listInHeartbeats(String backendServer) {
        locked(deferred -> monitor.listInHeartbeats(backendServer));
    }

    /**
     * Applies the allowances in a heartbeat of another host. Servers of other services are ignored.
     *
     * @param listed the allowances that the heartbeat lists
     * @param omittedAsWarm the servers that the sender coordinates and omits because they are warm
     * @param earliestSentAt the earliest time at which the heartbeat may have been sent, in
     *     monotonic milliseconds of this host
     */
    public void applyAllowances(
            List<ServerAllowance> listed, List<String> omittedAsWarm, long earliestSentAt) {
        locked(
                deferred -> {
                    monitor.applyAllowances(listed, omittedAsWarm, earliestSentAt, deferred);
                    processPending(deferred);
                });
    }

    /**
     * Applies an allowance update of unknown age, which can only lower allowances. Servers of other
     * services are ignored.
     *
     * @param reductions the new allowances
     */
    public void applyReductions(List<ServerAllowance> reductions) {
        locked(deferred -> monitor.applyReductions(reductions));
    }

    /**
     * Records how many slots another host could lend.
     *
     * @param host the other host
     * @param slots the number of its lendable slots
     */
    public void updateLendableSlots(String host, int slots) {
        locked(deferred -> loanManager.updateLendableSlots(host, slots));
    }

    /**
     * Counts the slots that this host could lend.
     *
     * @return the number of its own slots that are idle and usable, 0 while requests wait
     */
    public int countLendableSlots() {
        lock.lock();
        try {
            return loanManager.countLendableSlots();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Counts the requests that wait for a slot.
     *
     * @return the length of the queue
     */
    public int waitingRequests() {
        lock.lock();
        try {
            return state.queue().size();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Describes the current load of the service on this host.
     *
     * @return the number of slots and of waiting requests
     */
    public ServiceLoad load() {
        lock.lock();
        try {
            return new ServiceLoad(
                    state.service().name(),
                    state.slots().size(),
                    state.slots().countBusy(),
                    state.queue().size());
        } finally {
            lock.unlock();
        }
    }

    /**
     * Lists the servers whose warm-up coordinator this host is, each with its allowance.
     *
     * @return the servers, including the warm ones
     */
    public List<CoordinatedServer> coordinatedServers() {
        lock.lock();
        try {
            List<CoordinatedServer> coordinated = new ArrayList<>();
            for (ServerState server : state.servers().values()) {
                if (server.warmUp().isCoordinator()) {
                    coordinated.add(
                            new CoordinatedServer(
                                    new ServerAllowance(
                                            server.backendServer().name(),
                                            server.warmUp().announcedAllowance(),
                                            server.warmUp().bootIdentity()),
                                    server.warmUp().isWarm()
                                            && !server.isListedInHeartbeats(state.now())));
                }
            }
            return coordinated;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Describes a server whose warm-up coordinator is this host.
     *
     * @param allowance its allowance
     * @param mayBeOmitted whether heartbeats may omit the server: all its slots are usable and no
     *     host has asked for its allowance recently
     */
    public record CoordinatedServer(ServerAllowance allowance, boolean mayBeOmitted) {}

    /** Sends messages on the allowances of backend servers to other hosts. */
    public interface AllowanceMessenger {

        /**
         * Sends every other host the allowance of a server. The receivers use it only to lower
         * theirs, since its age is unknown.
         *
         * @param allowance the current allowance
         */
        void broadcastReduction(ServerAllowance allowance);

        /**
         * Reports to the coordinator of a server that the server must be treated as cold: it
         * restarted, is leaving, shed a request, answered slowly, or its connections broke or were
         * refused.
         *
         * @param backendServer the name of the server
         * @param bootIdentity the last known boot identity, or an empty string
         */
        void reportColdSighting(String backendServer, String bootIdentity);

        /**
         * Asks the coordinator of a server to list its allowance in the next heartbeats.
         *
         * @param backendServer the name of the server
         */
        void requestAllowance(String backendServer);
    }

    private void locked(Consumer<DeferredActions> command) {
        DeferredActions.runLocked(lock, command);
    }

    private final class Listener implements Dispatcher.AttemptListener {

        @Override
        public void ended(long attemptNumber, AttemptAnswer answer, Throwable failure) {
            locked(
                    deferred -> {
                        if (failure == null) {
                            dispatcher.answered(attemptNumber, answer, deferred);
                        } else {
                            dispatcher.failed(
                                    attemptNumber, AttemptException.from(failure), deferred);
                        }
                        processPending(deferred);
                    });
        }

        @Override
        public void hedgeDue(RoutedRequest routed) {
            locked(deferred -> dispatcher.hedge(routed, deferred));
        }

        @Override
        public void queueCheckDue() {
            locked(ServiceRouter.this::processPending);
        }
    }

    private final class MonitorNotifier implements ServerMonitor.Notifier {

        private final AllowanceMessenger messenger;

        private MonitorNotifier(AllowanceMessenger messenger) {
            this.messenger = messenger;
        }

        @Override
        public void broadcastReduction(ServerAllowance allowance) {
            messenger.broadcastReduction(allowance);
        }

        @Override
        public void reportColdSighting(String backendServer, String bootIdentity) {
            messenger.reportColdSighting(backendServer, bootIdentity);
        }

        @Override
        public void requestAllowance(String backendServer) {
            messenger.requestAllowance(backendServer);
        }

        @Override
        public void probeEnded(String backendServer, LoadReport report, Throwable failure) {
            locked(
                    deferred -> {
                        if (failure == null) {
                            monitor.probed(backendServer, report, deferred);
                        } else {
                            monitor.probeFailed(
                                    backendServer, AttemptException.from(failure), deferred);
                        }
                        processPending(deferred);
                    });
        }
    }
}
