package org.siskinramp.quarantine;

/**
 * Describes a quarantined request: one that crashed three servers or more.
 *
 * @param content its fingerprint
 * @param route the name of its route, for operators
 * @param crashes how many backend servers crashed while they ran it
 */
public record QuarantinedContent(String content, String route, int crashes) {}
