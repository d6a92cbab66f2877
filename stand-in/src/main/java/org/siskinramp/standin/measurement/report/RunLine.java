package org.siskinramp.standin.measurement.report;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;

/** The log line of one run, parsed into its keys and values in their order. */
final class RunLine {

    private static final String PREFIX = "event=measure_run ";

    private final Map<String, String> fields;

    private RunLine(Map<String, String> fields) {
        this.fields = fields;
    }

    static boolean isRun(String line) {
        return line.startsWith(PREFIX);
    }

    static RunLine parse(String line) {
        Map<String, String> fields = new LinkedHashMap<>();
        for (String pair : line.split(" ", -1)) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                fields.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        return new RunLine(fields);
    }

    String text(String key) {
        return fields.getOrDefault(key, "");
    }

    OptionalDouble number(String key) {
        String text = text(key);
        return text.isEmpty()
                ? OptionalDouble.empty()
                : OptionalDouble.of(Double.parseDouble(text));
    }
}
