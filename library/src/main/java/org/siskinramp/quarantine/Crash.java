package org.siskinramp.quarantine;

/**
 * Tells that a backend server ended while it ran a request.
 *
 * @param content the fingerprint of the request
 * @param route the name of its route, for people
 * @param backendServer the server's name
 * @param bornMilliseconds the calendar time of the start that ended, as the server published it
 */
public record Crash(String content, String route, String backendServer, long bornMilliseconds) {}
