package org.siskinramp.attempt;

import java.util.Objects;
import org.siskinramp.request.Answer;

/**
 * Holds the whole answer to an attempt.
 *
 * @param answer the answer
 * @param loadReport what the server said of itself
 */
public record AttemptAnswer(Answer answer, LoadReport loadReport) {

    /**
     * Checks the parts.
     *
     * @param answer the answer
     * @param loadReport the load report
     */
    public AttemptAnswer {
        Objects.requireNonNull(answer, "answer");
        Objects.requireNonNull(loadReport, "loadReport");
    }
}
