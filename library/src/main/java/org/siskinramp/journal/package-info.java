/**
 * Records the outcome of every request, and reports what became of a request.
 *
 * <p>Each entry host writes journal entries to the object store, in numbered batches, one at a time
 * and in order, at least every ten seconds, and an index of key hashes every minute. A batch states
 * until when the entries of the host are complete. Entries that had to be dropped are recorded as a
 * gap in the next batch. A marker object is written when an incarnation begins and another when it
 * ends; without the end marker, the time after the last batch of an incarnation that no longer
 * writes is a gap.
 *
 * <p>Cost per host: usually one object per second while requests end, at most four, otherwise one
 * every ten seconds, and one index per minute. An inquiry lists the object names of each hour that
 * it searches. It reads one index per host and minute, the batches since the last index, and the
 * batches whose index contains the key: for 15 hosts and two hours 1,800 indexes and at most 3,600
 * recent batches.
 *
 * <p>Lock: {@code JournalQueue} has one. No other code is called while it is held.
 */
package org.siskinramp.journal;
