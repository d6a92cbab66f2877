/**
 * Records how every request ended, and tells what became of a request.
 *
 * <p>Each entry host writes its entries as numbered batches to the object store, one at a time and
 * in order, at least every ten seconds, with an index of key hashes every minute. A batch says
 * until when the host's entries are complete. Entries that had to be dropped are named in the next
 * batch as a gap. A marker shows that an incarnation began, another that it ended; without the
 * latter the time after its last batch is a gap.
 *
 * <p>Cost for each host: one object a second while requests end, four at most, one every ten
 * seconds otherwise, and one index a minute. A lookup lists the names of each hour that it searches
 * and reads one index for each host and minute, the batches since the last index, and the batches
 * whose index holds the key: for 15 hosts and two hours 1,800 indexes and at most 3,600 recent
 * batches.
 *
 * <p>Lock: {@code JournalQueue} has one; nothing is called while it is held.
 */
package org.siskinramp.journal;
