package org.siskinramp.journal;

/**
 * A journal entry and the incarnation of the entry host that wrote it.
 *
 * @param host the entry host
 * @param incarnation its incarnation
 * @param entry the entry
 */
public record RecordedEntry(String host, String incarnation, JournalEntry entry) {}
