package org.siskinramp.standin.measurement;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * A service under load, as a change ticket describes it.
 *
 * @param name the name
 * @param pathPrefix the prefix of its paths
 * @param timeLimitMilliseconds the time limit of a request
 * @param queueLimit the maximum number of requests that wait on one entry host
 * @param state its administrative state, {@code in} or {@code out}
 * @param kinds the kinds of request
 * @param serverShare its share of the backend servers
 */
record MeasuredService(
        String name,
        String pathPrefix,
        @JsonProperty("time_limit_ms") long timeLimitMilliseconds,
        int queueLimit,
        String state,
        List<MeasuredKind> kinds,
        @JsonIgnore double serverShare) {

    MeasuredService(
            String name,
            long timeLimitMilliseconds,
            int queueLimit,
            double serverShare,
            MeasuredKind... kinds) {
        this(
                name,
                "/" + name,
                timeLimitMilliseconds,
                queueLimit,
                "in",
                List.of(kinds),
                serverShare);
    }

    /**
     * A kind of request.
     *
     * @param name the name
     * @param method the HTTP method
     * @param pathPrefix the prefix of its paths
     * @param idempotent whether it may run more than once
     * @param weight the weight of a served request in the measured result
     * @param share its share of the service's requests
     */
    record MeasuredKind(
            String name,
            String method,
            String pathPrefix,
            boolean idempotent,
            int weight,
            @JsonIgnore double share) {}
}
