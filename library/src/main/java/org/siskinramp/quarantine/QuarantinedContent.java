package org.siskinramp.quarantine;

/**
 * Names a request that is refused.
 *
 * @param content its fingerprint
 * @param route the name of its route, for people
 * @param crashes how many backend servers ended under it
 */
public record QuarantinedContent(String content, String route, int crashes) {}
