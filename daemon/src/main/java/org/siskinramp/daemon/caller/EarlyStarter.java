package org.siskinramp.daemon.caller;

import org.siskinramp.log.Counter;
import org.siskinramp.log.Counters;
import org.siskinramp.request.CallerConnection;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;

/** Decides which requests are started before their turn, with the checks of any other request. */
final class EarlyStarter {

    private final CallerProtocol protocol;
    private final RequestAdmission admission;
    private final RequestProcessor processor;
    private final Counters counters;
    private final Clock clock;

    EarlyStarter(
            CallerProtocol protocol,
            RequestAdmission admission,
            RequestProcessor processor,
            Counters counters,
            Clock clock) {
        this.protocol = protocol;
        this.admission = admission;
        this.processor = processor;
        this.counters = counters;
        this.clock = clock;
    }

    /** Tells whether a connection is about to close, so that nothing more is started on it. */
    boolean closesConnections() {
        return admission.closesConnections();
    }

    /** Accepts or refuses a request, or leaves it to its turn. */
    void decide(EarlyRequest early) {
        if (!early.head().isPlain()) {
            early.block();
            return;
        }
        try {
            AcceptedRequest accepted = protocol.read(early.request());
            admission.checkDeadline(accepted);
            if (accepted.mayStartEarly()) {
                admission.begin();
                early.accept(
                        accepted,
                        clock.monotonicMilliseconds(),
                        admission.requestsInProgress()::end);
            } else {
                early.block();
            }
        } catch (ResultException refusal) {
            early.refuse(refusal);
        } catch (RuntimeException failure) {
            // The request is read again in its turn, where the failure is handled.
            early.block();
        }
    }

    /** Starts a request that was accepted. */
    void start(EarlyRequest early, CallerConnection caller) {
        counters.add(Counter.REQUESTS_STARTED_EARLY);
        early.start(processor, caller);
    }
}
