package org.siskinramp.standin.server;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * What really happened on a backend server since the start of the stand-in.
 *
 * @param server the server's name
 * @param bootIdentity the current boot identity, which is new after each crash or cold start
 * @param runs how many runs of requests were started
 * @param overLimit how many requests arrived while all slots were busy
 * @param coldOverload how many requests arrived while the cold server had its limit of requests in
 *     progress
 * @param shed how many requests were refused without being run
 * @param cancelled how many requests were cancelled, because their client closed the connection
 * @param expired how many requests passed their deadline
 * @param crashes how often the server crashed
 * @param greatestInProgress the greatest number of requests in progress
 * @param inProgress the number of requests in progress
 * @param lastNewWorkAtMilliseconds when the last request was accepted, in calendar milliseconds
 * @param doubled non-idempotent requests that the server started to run more than once
 */
public record ExecutionStatistics(
        String server,
        String bootIdentity,
        long runs,
        long overLimit,
        long coldOverload,
        long shed,
        long cancelled,
        long expired,
        long crashes,
        int greatestInProgress,
        int inProgress,
        @JsonProperty("last_new_work_at_ms") long lastNewWorkAtMilliseconds,
        List<RunCount> doubled) {}
