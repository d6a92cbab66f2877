package org.siskinramp.routing;

/**
 * Records one attempt of a request and its result.
 *
 * @param backendServer the name of the server that it was sent to
 * @param result {@code answered}, {@code in_progress}, or the name of the {@link
 *     org.siskinramp.attempt.AttemptFailure} in lower case
 * @param mayHaveRun whether the server may have run the request in this attempt
 */
public record AttemptRecord(String backendServer, String result, boolean mayHaveRun) {}
