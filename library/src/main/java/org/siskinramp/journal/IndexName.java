package org.siskinramp.journal;

import java.util.Optional;

/**
 * Names the object of an index, which covers a range of batches of one incarnation.
 *
 * @param host the entry host
 * @param incarnation its incarnation
 * @param firstSequence the first batch
 * @param lastSequence the last batch
 * @param writtenMilliseconds when it was written
 */
record IndexName(
        String host,
        String incarnation,
        long firstSequence,
        long lastSequence,
        long writtenMilliseconds) {

    private static final int PARTS = 7;

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
        String[] parts = objectName.split("/", -1);
        if (parts.length != PARTS || !parts[2].equals("index")) {
            return Optional.empty();
        }
        int dash = parts[5].indexOf('-');
        return Optional.of(
                new IndexName(
                        ObjectNames.decode(parts[3]),
                        ObjectNames.decode(parts[4]),
                        Long.parseLong(parts[5].substring(0, dash)),
                        Long.parseLong(parts[5].substring(dash + 1)),
                        Long.parseLong(parts[6])));
    }
}
