package org.siskinramp.quarantine;

/**
 * Describes a request that is refused.
 *
 * @param content its fingerprint
 * @param route the name of its route, for operators
 * @param crashes how many backend servers crashed while they ran it
 */
public record QuarantinedContent(String content, String route, int crashes) {}
