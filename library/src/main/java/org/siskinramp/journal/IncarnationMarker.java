package org.siskinramp.journal;

import java.util.Optional;

/**
 * The name of an empty object that shows that an incarnation of an entry host began or ended.
 *
 * @param host the entry host
 * @param incarnation its incarnation
 * @param began true for the begin marker, false for the end marker
 * @param atMilliseconds when, in calendar milliseconds
 */
record IncarnationMarker(String host, String incarnation, boolean began, long atMilliseconds) {

    static final String PREFIX = "journal-hosts/";

    private static final int SEGMENT_COUNT = 5;

    String objectName() {
        return PREFIX
                + String.join(
                        "/",
                        ObjectNames.encode(host),
                        ObjectNames.encode(incarnation),
                        began ? "begin" : "end",
                        Long.toString(atMilliseconds));
    }

    static Optional<IncarnationMarker> parse(String objectName) {
        String[] segments = objectName.split("/", -1);
        if (segments.length != SEGMENT_COUNT) {
            return Optional.empty();
        }
        return Optional.of(
                new IncarnationMarker(
                        ObjectNames.decode(segments[1]),
                        ObjectNames.decode(segments[2]),
                        segments[3].equals("begin"),
                        Long.parseLong(segments[4])));
    }
}
