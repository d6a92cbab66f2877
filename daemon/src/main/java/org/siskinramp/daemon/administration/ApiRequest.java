package org.siskinramp.daemon.administration;

import java.util.Arrays;
import java.util.List;
import org.eclipse.jetty.util.URIUtil;

/**
 * A request to the administration API.
 *
 * @param method the HTTP method
 * @param segments the decoded segments of the path
 * @param authorization the value of the Authorization header, or null if it is missing
 * @param body the complete body
 */
record ApiRequest(String method, List<String> segments, String authorization, String body) {

    static ApiRequest of(String method, String rawPath, String authorization, String body) {
        List<String> segments =
                Arrays.stream(rawPath.split("/", -1)).skip(1).map(URIUtil::decodePath).toList();
        return new ApiRequest(method, segments, authorization, body);
    }

    /**
     * Tells whether the method and the path match; {@code *} in the pattern matches any segment.
     */
    boolean matches(String wantedMethod, String... pattern) {
        if (!method.equals(wantedMethod) || pattern.length != segments.size()) {
            return false;
        }
        for (int index = 0; index < pattern.length; index++) {
            if (!pattern[index].equals("*") && !pattern[index].equals(segments.get(index))) {
                return false;
            }
        }
        return true;
    }

    String segment(int index) {
        return segments.get(index);
    }

    @Override
    public String toString() {
        return method + " /" + String.join("/", segments);
    }
}
