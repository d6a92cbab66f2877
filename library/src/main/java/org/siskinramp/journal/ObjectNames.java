package org.siskinramp.journal;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;

/** Encodes and decodes the common parts of the names of journal objects. */
final class ObjectNames {

    private static final long HOUR_MILLISECONDS = 3_600_000;
    private static final int HOUR_TEXT_LENGTH = "2027-01-15T08".length();

    private ObjectNames() {}

    /** Returns the prefix of the objects of one hour. */
    static String hourPrefix(long calendarMilliseconds) {
        String time =
                Instant.ofEpochMilli(calendarMilliseconds).truncatedTo(ChronoUnit.HOURS).toString();
        return "journal/" + time.substring(0, HOUR_TEXT_LENGTH) + "/";
    }

    /** Returns the prefixes of all hours that overlap a period. */
    static List<String> hourPrefixes(long fromMilliseconds, long untilMilliseconds) {
        List<String> prefixes = new ArrayList<>();
        for (long hour = fromMilliseconds / HOUR_MILLISECONDS;
                hour <= untilMilliseconds / HOUR_MILLISECONDS;
                hour++) {
            prefixes.add(hourPrefix(hour * HOUR_MILLISECONDS));
        }
        return prefixes;
    }

    static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }
}
