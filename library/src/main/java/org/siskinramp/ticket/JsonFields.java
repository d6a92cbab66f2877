package org.siskinramp.ticket;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * Reads and validates the fields of a JSON object. A field with an error yields a placeholder, so
 * that the rest of the ticket is checked too; its error is collected with its JSON path.
 */
final class JsonFields {

    private static final Pattern NAME = Pattern.compile("[a-z0-9-]{1,64}");

    private final JsonNode node;
    private final String path;
    private final ValidationErrors errors;

    JsonFields(JsonNode node, String path, ValidationErrors errors, Set<String> knownKeys) {
        this.node = node;
        this.path = path;
        this.errors = errors;
        if (!node.isObject()) {
            errors.add(path, "must be an object");
            return;
        }
        node.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!knownKeys.contains(name)) {
                                errors.add(path + "." + name, "is not a known key");
                            }
                        });
    }

    String path() {
        return path;
    }

    boolean has(String field) {
        return node.has(field);
    }

    void addError(String field, String message) {
        errors.add(pathOf(field), message);
    }

    private String pathOf(String field) {
        return path + "." + field;
    }

    long number(String field, long minimum, long maximum) {
        JsonNode value = node.path(field);
        if (value.isIntegralNumber()
                && value.canConvertToLong()
                && value.asLong() >= minimum
                && value.asLong() <= maximum) {
            return value.asLong();
        }
        String rangeMessage =
                maximum == Long.MAX_VALUE
                        ? "must be a whole number from " + minimum
                        : "must be a whole number from " + minimum + " to " + maximum;
        errors.add(pathOf(field), rangeMessage);
        return minimum;
    }

    long number(String field, long minimum, long maximum, long defaultValue) {
        return node.has(field) ? number(field, minimum, maximum) : defaultValue;
    }

    boolean booleanValue(String field) {
        JsonNode value = node.path(field);
        if (!value.isBoolean()) {
            errors.add(pathOf(field), "must be true or false");
        }
        return value.asBoolean();
    }

    String name(String field) {
        return text(field, NAME, "must match [a-z0-9-]{1,64}");
    }

    String text(String field, Pattern pattern, String message) {
        JsonNode value = node.path(field);
        if (value.isTextual() && pattern.matcher(value.textValue()).matches()) {
            return value.textValue();
        }
        errors.add(pathOf(field), message);
        return "";
    }

    <T> List<T> list(String field, Function<JsonFields, T> reader, Set<String> knownKeys) {
        JsonNode value = node.path(field);
        if (value.isMissingNode()) {
            return List.of();
        }
        if (!value.isArray()) {
            errors.add(pathOf(field), "must be a list");
            return List.of();
        }
        List<T> items = new ArrayList<>();
        for (int index = 0; index < value.size(); index++) {
            String itemPath = pathOf(field) + "[" + index + "]";
            items.add(reader.apply(new JsonFields(value.get(index), itemPath, errors, knownKeys)));
        }
        return items;
    }
}
