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
 * <p>Every command takes the lock of the service, changes the tables, and runs the effects after it
 * has released the lock.
 */
public final class ServiceRouter {

    private final ReentrantLock lock = new ReentrantLock();
    private final ServiceState state;
    private final ServerObserver observer;
    private final Dispatcher dispatcher;
    private final LoanDesk loanDesk;
    private final RoutingEnvironment environment;

    /**
     * Creates a router without servers or slots.
     *
     * @param environment the surroundings
     * @param options times, counts and budgets
     * @param service the service
     * @param loanMessages the budget of loan messages of this entry host
     * @param words tells other hosts of backend servers
     */
    public ServiceRouter(
            RoutingEnvironment environment,
            RoutingOptions options,
            Service service,
            MessageBudget loanMessages,
            ServerWords words) {
        this.environment = environment;
        this.state = new ServiceState(environment, options, service);
        this.observer = new ServerObserver(state, new Words(words));
        this.dispatcher = new Dispatcher(state, observer, new Listener());
        this.loanDesk = new LoanDesk(state, loanMessages, () -> locked(this::settle));
    }

    /**
     * Runs a request: sends it at once, makes it wait, or refuses it.
     *
     * @param request the request
     * @return the run, whose future completes with the answer
     */
    public RequestRun run(Request request) {
        RequestRun run = new RequestRun(request);
        locked(
                effects -> {
                    dispatcher.submit(run, effects);
                    settle(effects);
                });
        return run;
    }

    /**
     * Tells whether a request would be refused at once, without running or queueing it.
     *
     * @param request the request
     * @return the refusal, or empty if the request would be sent or would wait
     */
    public Optional<ResultException> refusalOf(Request request) {
        RequestRun run = new RequestRun(request);
        lock.lock();
        try {
            return dispatcher
                    .admission()
                    .refusalOf(run)
                    .map(
                            code ->
                                    new ResultException(
                                            code,
                                            "request=" + request.key(),
                                            dispatcher.admission().retryAfterMilliseconds(run)));
        } finally {
            lock.unlock();
        }
    }

    /**
     * Follows a configuration that has this service.
     *
     * @param configuration the configuration
     */
    public void apply(Configuration configuration) {
        locked(
                effects -> {
                    state.follow(configuration);
                    observer.followHoldings();
                    settle(effects);
                });
    }

    /**
     * Follows the membership's decision on the slots of this service.
     *
     * @param held the slots that this host holds now
     */
    public void hold(Set<SlotKey> held) {
        locked(
                effects -> {
                    state.slots().hold(held);
                    observer.followHoldings();
                    settle(effects);
                });
    }

    /** Does what is due without another event: probes, missing words, loans that ran out. */
    public void tick() {
        locked(
                effects -> {
                    observer.watch(effects);
                    settle(effects);
                });
    }

    private void settle(Effects effects) {
        loanDesk.settle();
        if (!state.hasServerForNewWork()) {
            dispatcher.refuseWaiting(ResultCode.NO_BACKEND_SERVER, effects);
        }
        dispatcher.startWaiting(effects);
        loanDesk.askIfNeeded(effects);
        loanDesk.giveBackIdle(effects);
        for (SlotKey released : state.slots().removeReleased(state.now())) {
            effects.add(() -> environment.slotReleases().released(released));
        }
    }

    /**
     * Answers another host's ask for slots.
     *
     * @param host the asking host
     * @param ask what it asks for
     */
    public void receive(String host, LoanAsk ask) {
        locked(effects -> loanDesk.lend(host, ask, effects));
    }

    /**
     * Takes slots that another host lends.
     *
     * @param host the lending host
     * @param grant the loans
     */
    public void receive(String host, LoanGrant grant) {
        locked(
                effects -> {
                    loanDesk.borrow(host, grant, effects);
                    settle(effects);
                });
    }

    /**
     * Takes slots back that another host returns.
     *
     * @param host the returning host
     * @param message the loans
     */
    public void receive(String host, LoanReturn message) {
        locked(
                effects -> {
                    loanDesk.takeBack(host, message);
                    settle(effects);
                });
    }

    /**
     * Follows another host's sighting of a cold start.
     *
     * @param backendServer the server
     * @param bootIdentity the boot identity that was seen, or an empty string
     */
    public void hearSighting(String backendServer, String bootIdentity) {
        locked(effects -> observer.hearSighting(backendServer, bootIdentity, effects));
    }

    /**
     * Names a server in the next heartbeats, if this host judges it.
     *
     * @param backendServer the server
     */
    public void nameServer(String backendServer) {
        locked(effects -> observer.nameServer(backendServer));
    }

    /**
     * Follows the words of another host that judges servers.
     *
     * @param explicit the servers that the word names; those of other services are passed over
     * @param implicit the servers that the word leaves out as warm
     * @param given a time, in monotonic milliseconds of this host, that the word is not older than
     */
    public void hearWords(List<ServerAllowance> explicit, List<String> implicit, long given) {
        locked(
                effects -> {
                    observer.hearWords(explicit, implicit, given, effects);
                    settle(effects);
                });
    }

    /**
     * Follows a word of unknown age, which can only lower allowances.
     *
     * @param words the named servers; those of other services are passed over
     */
    public void hearReductions(List<ServerAllowance> words) {
        locked(effects -> observer.hearReductions(words));
    }

    /**
     * Takes in how many slots a host could lend.
     *
     * @param host the other host
     * @param slots its idle slots
     */
    public void hearSpare(String host, int slots) {
        locked(effects -> loanDesk.hearSpare(host, slots));
    }

    /**
     * Counts the slots that this host could lend.
     *
     * @return idle usable own slots
     */
    public int spare() {
        lock.lock();
        try {
            return loanDesk.spare();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Counts the requests that wait.
     *
     * @return the length of the queue
     */
    public int waiting() {
        lock.lock();
        try {
            return state.queue().size();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Describes the work of the service.
     *
     * @return the slots and the waiting requests at this moment
     */
    public ServiceWork work() {
        lock.lock();
        try {
            return new ServiceWork(
                    state.service().name(),
                    state.slots().size(),
                    state.slots().busy(),
                    state.queue().size());
        } finally {
            lock.unlock();
        }
    }

    /**
     * Lists the servers that this host judges, each with its allowance.
     *
     * @return all judged servers, warm ones too
     */
    public List<JudgedServer> judgedServers() {
        lock.lock();
        try {
            List<JudgedServer> judged = new ArrayList<>();
            for (ServerState server : state.servers().values()) {
                if (server.warmth().isJudge()) {
                    judged.add(
                            new JudgedServer(
                                    new ServerAllowance(
                                            server.backendServer().name(),
                                            server.warmth().judgedAllowance(),
                                            server.warmth().bootIdentity()),
                                    server.warmth().isWarm() && !server.isNamed(state.now())));
                }
            }
            return judged;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Describes a server that this host judges.
     *
     * @param allowance its allowance
     * @param warm whether all its slots are usable and no host has asked for it to be named
     */
    public record JudgedServer(ServerAllowance allowance, boolean warm) {}

    /** Tells other hosts of backend servers. */
    public interface ServerWords {

        /**
         * Tells every other host that a server bears less than before.
         *
         * @param allowance the new allowance
         */
        void tellReduction(ServerAllowance allowance);

        /**
         * Tells the judge of a server that it was seen to start anew or to refuse work.
         *
         * @param backendServer the server
         * @param bootIdentity the boot identity that was seen, or an empty string
         */
        void tellSighting(String backendServer, String bootIdentity);

        /**
         * Asks the judge of a server to name it in its next heartbeats.
         *
         * @param backendServer the server
         */
        void askForWord(String backendServer);
    }

    private void locked(Consumer<Effects> command) {
        Effects.runLocked(lock, command);
    }

    private final class Listener implements Dispatcher.AttemptListener {

        @Override
        public void ended(long attemptNumber, AttemptAnswer answer, Throwable failure) {
            locked(
                    effects -> {
                        if (failure == null) {
                            dispatcher.answered(attemptNumber, answer, effects);
                        } else {
                            dispatcher.failed(
                                    attemptNumber, AttemptException.from(failure), effects);
                        }
                        settle(effects);
                    });
        }

        @Override
        public void hedgeDue(RequestRun run) {
            locked(effects -> dispatcher.hedge(run, effects));
        }

        @Override
        public void queueDue() {
            locked(ServiceRouter.this::settle);
        }
    }

    private final class Words implements ServerObserver.WordSender {

        private final ServerWords words;

        private Words(ServerWords words) {
            this.words = words;
        }

        @Override
        public void tellReduction(ServerAllowance allowance) {
            words.tellReduction(allowance);
        }

        @Override
        public void tellSighting(String backendServer, String bootIdentity) {
            words.tellSighting(backendServer, bootIdentity);
        }

        @Override
        public void askForWord(String backendServer) {
            words.askForWord(backendServer);
        }

        @Override
        public void probed(String backendServer, LoadReport report, Throwable failure) {
            locked(
                    effects -> {
                        if (failure == null) {
                            observer.probed(backendServer, report, effects);
                        } else {
                            observer.probeFailed(
                                    backendServer, AttemptException.from(failure), effects);
                        }
                        settle(effects);
                    });
        }
    }
}
