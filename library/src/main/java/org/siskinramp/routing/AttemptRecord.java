package org.siskinramp.routing;

/**
 * Records one attempt of a request and how it ended.
 *
 * @param backendServer where it was sent
 * @param result {@code answered}, or the name of the {@link org.siskinramp.attempt.AttemptFailure}
 *     in lower case
 * @param mayHaveRun whether the server may have run the request in this attempt
 */
public record AttemptRecord(String backendServer, String result, boolean mayHaveRun) {}
