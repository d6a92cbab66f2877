package org.siskinramp.journal;

import java.util.Optional;

/**
 * Names the object of a batch, so that a list of names tells what must be read.
 *
 * @param host the entry host
 * @param incarnation its incarnation
 * @param sequence the number of the batch
 * @param coveredUntilMilliseconds until when the host's entries are complete
 * @param entries how many entries it holds
 * @param hasGaps whether it names gaps
 */
record BatchName(
        String host,
        String incarnation,
        long sequence,
        long coveredUntilMilliseconds,
        int entries,
        boolean hasGaps) {

    private static final int PARTS = 8;

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
        String[] parts = objectName.split("/", -1);
        if (parts.length != PARTS || !parts[2].equals("batch")) {
            return Optional.empty();
        }
        boolean gaps = parts[7].endsWith("g");
        return Optional.of(
                new BatchName(
                        ObjectNames.decode(parts[3]),
                        ObjectNames.decode(parts[4]),
                        Long.parseLong(parts[5]),
                        Long.parseLong(parts[6]),
                        Integer.parseInt(gaps ? parts[7].replace("g", "") : parts[7]),
                        gaps));
    }
}
