package org.siskinramp.attempt;

import java.util.Objects;
import org.siskinramp.request.Answer;

/**
 * Holds the complete answer to an attempt.
 *
 * @param answer the answer
 * @param loadReport the load report of the server
 */
public record AttemptAnswer(Answer answer, LoadReport loadReport) {

    /**
     * Checks that no component is null.
     *
     * @param answer the answer
     * @param loadReport the load report
     */
    public AttemptAnswer {
        Objects.requireNonNull(answer, "answer");
        Objects.requireNonNull(loadReport, "loadReport");
    }
}
