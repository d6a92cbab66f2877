package org.siskinramp.journal;

/**
 * Identifies one start of an entry host.
 *
 * @param host the entry host
 * @param name its incarnation
 */
record Incarnation(String host, String name) {}
