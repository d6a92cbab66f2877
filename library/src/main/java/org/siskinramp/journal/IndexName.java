package org.siskinramp.journal;

import java.util.Optional;

/**
 * The object name of an index, which covers a range of batches of one incarnation.
 *
 * @param host the entry host
 * @param incarnation its incarnation
 * @param firstSequence the sequence number of the first batch
 * @param lastSequence the sequence number of the last batch
 * @param writtenMilliseconds when the index was written, in calendar milliseconds
 */
record IndexName(
        String host,
        String incarnation,
        long firstSequence,
        long lastSequence,
        long writtenMilliseconds) {

    private static final int SEGMENT_COUNT = 7;

    String objectName() {
        return ObjectNames.hourPrefix(writtenMilliseconds)
                + String.join(
                        "/",
                        "index",
                        ObjectNames.encode(host),
                        ObjectNames.encode(incarnation),
                        firstSequence + "-" + lastSequence,
                        Long.toString(writtenMilliseconds));
    }

    static Optional<IndexName> parse(String objectName) {
        String[] segments = objectName.split("/", -1);
        if (segments.length != SEGMENT_COUNT || !segments[2].equals("index")) {
            return Optional.empty();
        }
        int dash = segments[5].indexOf('-');
        return Optional.of(
                new IndexName(
                        ObjectNames.decode(segments[3]),
                        ObjectNames.decode(segments[4]),
                        Long.parseLong(segments[5].substring(0, dash)),
                        Long.parseLong(segments[5].substring(dash + 1)),
                        Long.parseLong(segments[6])));
    }
}
