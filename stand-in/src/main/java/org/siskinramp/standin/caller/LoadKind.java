package org.siskinramp.standin.caller;

import java.util.ArrayList;
import java.util.List;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/**
 * Describes one kind of request in the load.
 *
 * @param name the name in the report
 * @param method the HTTP method
 * @param path the path
 * @param share its share of the requests, relative to the other kinds
 */
public record LoadKind(String name, String method, String path, double share) {

    private static final int PARTS = 4;

    /**
     * Reads kinds of the form {@code name:method:path:share}, separated by commas.
     *
     * @param text the kinds
     * @return the kinds
     * @throws ResultException with {@link ResultCode#USAGE} if the text does not fit
     */
    public static List<LoadKind> parseAll(String text) {
        List<LoadKind> kinds = new ArrayList<>();
        for (String part : text.split(",", -1)) {
            kinds.add(parse(part));
        }
        return List.copyOf(kinds);
    }

    private static LoadKind parse(String text) {
        String[] parts = text.split(":", -1);
        if (parts.length != PARTS) {
            throw new ResultException(
                    ResultCode.USAGE, "a kind is name:method:path:share, not " + text);
        }
        try {
            double share = Double.parseDouble(parts[3]);
            return new LoadKind(parts[0], parts[1], parts[2], share);
        } catch (NumberFormatException failure) {
            throw new ResultException(ResultCode.USAGE, "the share is not a number: " + text);
        }
    }

    boolean isIdempotent() {
        return method.equals("GET") || method.equals("HEAD");
    }
}
