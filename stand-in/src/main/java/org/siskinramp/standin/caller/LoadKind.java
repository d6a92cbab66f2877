package org.siskinramp.standin.caller;

import java.util.ArrayList;
import java.util.List;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/**
 * A kind of request in the load.
 *
 * @param name the name in the report
 * @param method the HTTP method
 * @param path the path
 * @param share its share of the requests, relative to the other kinds
 * @param weight the weight of a request of this kind in the served share
 */
public record LoadKind(String name, String method, String path, double share, double weight) {

    private static final int MINIMUM_PARTS = 4;
    private static final int MAXIMUM_PARTS = 5;

    /**
     * Parses kinds of the form {@code name:method:path:share} or {@code
     * name:method:path:share:weight}, separated by commas. The weight is 1 if it is left out.
     *
     * @param text the kinds
     * @return the kinds
     * @throws ResultException with {@link ResultCode#USAGE} if the text has another form
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
        if (parts.length < MINIMUM_PARTS || parts.length > MAXIMUM_PARTS) {
            throw new ResultException(
                    ResultCode.USAGE, "a kind is name:method:path:share[:weight], not " + text);
        }
        try {
            double share = Double.parseDouble(parts[3]);
            double weight = parts.length == MAXIMUM_PARTS ? Double.parseDouble(parts[4]) : 1;
            return new LoadKind(parts[0], parts[1], parts[2], share, weight);
        } catch (NumberFormatException failure) {
            throw new ResultException(
                    ResultCode.USAGE, "the share or weight is not a number: " + text);
        }
    }

    boolean isIdempotent() {
        return method.equals("GET") || method.equals("HEAD");
    }
}
