package org.siskinramp.daemon.administration;

import java.util.Arrays;
import java.util.List;
import org.eclipse.jetty.util.URIUtil;

/**
 * Holds a request to the administration API.
 *
 * @param method the HTTP method
 * @param segments the decoded parts of the path
 * @param authorization the Authorization header, or null
 * @param body the whole body
 */
record ApiRequest(String method, List<String> segments, String authorization, String body) {

    static ApiRequest of(String method, String rawPath, String authorization, String body) {
        List<String> segments =
                Arrays.stream(rawPath.split("/", -1)).skip(1).map(URIUtil::decodePath).toList();
        return new ApiRequest(method, segments, authorization, body);
    }

    /** Tells whether method and path are those of a pattern, in which {@code *} is any segment. */
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
