package org.siskinramp.standin.server;

import java.util.List;
import java.util.Optional;

/** Swaps the answers of requests that are in progress at the same time. */
final class AnswerCrossing {

    private Optional<Work> held = Optional.empty();

    /**
     * Decides which answers go out now that a request has finished.
     *
     * @param finished the request that has finished
     * @param othersInProgress whether further requests are in progress
     * @return the deliveries, none if the answer is held back until another request finishes
     */
    List<Delivery> finished(Work finished, boolean othersInProgress) {
        if (held.isPresent()) {
            Work first = held.get();
            held = Optional.empty();
            return List.of(new Delivery(first, finished), new Delivery(finished, first));
        }
        if (othersInProgress) {
            held = Optional.of(finished);
            return List.of();
        }
        return List.of(new Delivery(finished, finished));
    }

    /** Releases an answer that is still held back, to its own request. */
    List<Delivery> release() {
        List<Delivery> deliveries =
                held.map(work -> List.of(new Delivery(work, work))).orElse(List.of());
        held = Optional.empty();
        return deliveries;
    }

    /**
     * Names where an answer goes.
     *
     * @param receiver the request that gets the answer
     * @param content the request that the answer was made for
     */
    record Delivery(Work receiver, Work content) {}
}
