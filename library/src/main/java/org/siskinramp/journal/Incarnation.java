package org.siskinramp.journal;

/**
 * Identifies one process of an entry host.
 *
 * @param host the entry host
 * @param identifier the identifier of the incarnation, unique for the host
 */
record Incarnation(String host, String identifier) {}
