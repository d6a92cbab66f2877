package org.siskinramp.standin.server;

import java.util.List;
import java.util.Optional;

/** Swaps the answers of two requests that are in progress at the same time. */
final class AnswerSwapper {

    private Optional<ServerRequest> heldRequest = Optional.empty();

    /**
     * Returns which answers are sent now that a request has finished.
     *
     * @param finished the request that has finished
     * @param othersInProgress whether other requests are in progress
     * @return the answers to send, none if the answer is held back until another request finishes
     */
    List<Delivery> onFinished(ServerRequest finished, boolean othersInProgress) {
        if (heldRequest.isPresent()) {
            ServerRequest earlier = heldRequest.get();
            heldRequest = Optional.empty();
            return List.of(new Delivery(earlier, finished), new Delivery(finished, earlier));
        }
        if (othersInProgress) {
            heldRequest = Optional.of(finished);
            return List.of();
        }
        return List.of(new Delivery(finished, finished));
    }

    /** Returns the answer that is still held back, if any, to be sent to its own request. */
    List<Delivery> release() {
        List<Delivery> deliveries =
                heldRequest
                        .map(request -> List.of(new Delivery(request, request)))
                        .orElse(List.of());
        heldRequest = Optional.empty();
        return deliveries;
    }

    /**
     * Describes to which request an answer is sent.
     *
     * @param receiver the request to which the answer is sent
     * @param source the request whose answer it is
     */
    record Delivery(ServerRequest receiver, ServerRequest source) {}
}
