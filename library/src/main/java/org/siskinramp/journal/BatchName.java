package org.siskinramp.journal;

import java.util.Optional;

/**
 * The object name of a batch. It contains what an inquiry needs to select the batches to read.
 *
 * @param host the entry host
 * @param incarnation its incarnation
 * @param sequence the sequence number of the batch
 * @param coveredUntilMilliseconds until when the host's entries are complete, in calendar
 *     milliseconds
 * @param entries the number of entries in the batch
 * @param hasGaps whether the batch records gaps
 */
record BatchName(
        String host,
        String incarnation,
        long sequence,
        long coveredUntilMilliseconds,
        int entries,
        boolean hasGaps) {

    private static final int SEGMENT_COUNT = 8;

    String objectName() {
        return ObjectNames.hourPrefix(coveredUntilMilliseconds)
                + String.join(
                        "/",
                        "batch",
                        ObjectNames.encode(host),
                        ObjectNames.encode(incarnation),
                        Long.toString(sequence),
                        Long.toString(coveredUntilMilliseconds),
                        entries + (hasGaps ? "g" : ""));
    }

    static Optional<BatchName> parse(String objectName) {
        String[] segments = objectName.split("/", -1);
        if (segments.length != SEGMENT_COUNT || !segments[2].equals("batch")) {
            return Optional.empty();
        }
        boolean gaps = segments[7].endsWith("g");
        return Optional.of(
                new BatchName(
                        ObjectNames.decode(segments[3]),
                        ObjectNames.decode(segments[4]),
                        Long.parseLong(segments[5]),
                        Long.parseLong(segments[6]),
                        Integer.parseInt(gaps ? segments[7].replace("g", "") : segments[7]),
                        gaps));
    }
}
