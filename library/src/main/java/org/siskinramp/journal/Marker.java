package org.siskinramp.journal;

import java.util.Optional;

/**
 * Names an object which shows that an incarnation of an entry host began or ended.
 *
 * @param host the entry host
 * @param incarnation its incarnation
 * @param began true for its begin, false for its end
 * @param atMilliseconds when, in calendar milliseconds
 */
record Marker(String host, String incarnation, boolean began, long atMilliseconds) {

    static final String PREFIX = "journal-hosts/";

    private static final int PARTS = 5;

    String objectName() {
        return PREFIX
                + String.join(
                        "/",
                        ObjectNames.encode(host),
                        ObjectNames.encode(incarnation),
                        began ? "begin" : "end",
                        Long.toString(atMilliseconds));
    }

    static Optional<Marker> parse(String objectName) {
        String[] parts = objectName.split("/", -1);
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        return Optional.of(
                new Marker(
                        ObjectNames.decode(parts[1]),
                        ObjectNames.decode(parts[2]),
                        parts[3].equals("begin"),
                        Long.parseLong(parts[4])));
    }
}
