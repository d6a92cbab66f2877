package org.siskinramp.ticket;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

/** Reads the fields of one JSON object and notes each fault with its path. */
final class JsonFields {

    private static final Pattern NAME = Pattern.compile("[a-z0-9-]{1,64}");

    private final JsonNode node;
    private final String path;
    private final Faults faults;

    JsonFields(JsonNode node, String path, Faults faults, Set<String> known) {
        this.node = node;
        this.path = path;
        this.faults = faults;
        if (!node.isObject()) {
            faults.add(path, "must be an object");
            return;
        }
        node.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!known.contains(name)) {
                                faults.add(path + "." + name, "is not a known key");
                            }
                        });
    }

    String path() {
        return path;
    }

    boolean has(String field) {
        return node.has(field);
    }

    void fault(String field, String allowed) {
        faults.add(at(field), allowed);
    }

    private String at(String field) {
        return path + "." + field;
    }

    long number(String field, long least, long greatest) {
        JsonNode found = node.path(field);
        if (found.isIntegralNumber()
                && found.canConvertToLong()
                && found.asLong() >= least
                && found.asLong() <= greatest) {
            return found.asLong();
        }
        String range =
                greatest == Long.MAX_VALUE
                        ? "must be a whole number from " + least
                        : "must be a whole number from " + least + " to " + greatest;
        faults.add(at(field), range);
        return least;
    }

    long number(String field, long least, long greatest, long otherwise) {
        return node.has(field) ? number(field, least, greatest) : otherwise;
    }

    boolean flag(String field) {
        JsonNode found = node.path(field);
        if (!found.isBoolean()) {
            faults.add(at(field), "must be true or false");
        }
        return found.asBoolean();
    }

    String name(String field) {
        return text(field, NAME, "must match [a-z0-9-]{1,64}");
    }

    String text(String field, Pattern pattern, String allowed) {
        JsonNode found = node.path(field);
        if (found.isTextual() && pattern.matcher(found.textValue()).matches()) {
            return found.textValue();
        }
        faults.add(at(field), allowed);
        return "";
    }

    <T> List<T> list(String field, Function<JsonFields, T> reader, Set<String> known) {
        JsonNode found = node.path(field);
        if (found.isMissingNode()) {
            return List.of();
        }
        if (!found.isArray()) {
            faults.add(at(field), "must be a list");
            return List.of();
        }
        List<T> items = new ArrayList<>();
        for (int index = 0; index < found.size(); index++) {
            String itemPath = at(field) + "[" + index + "]";
            items.add(reader.apply(new JsonFields(found.get(index), itemPath, faults, known)));
        }
        return items;
    }
}
