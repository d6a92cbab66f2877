package org.siskinramp.journal;

/**
 * Holds a journal entry and who wrote it.
 *
 * @param host the entry host
 * @param incarnation its incarnation
 * @param entry the entry
 */
public record RecordedEntry(String host, String incarnation, JournalEntry entry) {}
