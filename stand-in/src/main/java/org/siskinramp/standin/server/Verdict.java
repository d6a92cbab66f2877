package org.siskinramp.standin.server;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * Holds what really happened on a backend server.
 *
 * @param server the server's name
 * @param bootIdentity the current boot identity
 * @param runs how often a request began to run
 * @param overLimit how many requests arrived with all slots busy
 * @param coldOverload how many requests arrived past what the server bears while cold
 * @param shed how many requests were refused without being run
 * @param cancelled how many requests were cancelled by their sender
 * @param expired how many requests passed their deadline
 * @param crashes how often the server fell over
 * @param greatestInProgress the greatest number of requests in progress
 * @param inProgress the number of requests in progress
 * @param lastNewWorkAtMilliseconds when the last request was taken, in calendar milliseconds
 * @param doubled non-idempotent requests that began to run more than once
 */
public record Verdict(
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
