package org.siskinramp.daemon.caller;

import java.util.Iterator;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.Request;

/** Holds a complete request head that was parsed before the HTTP connection has read it. */
record ParsedHead(
        String method, String target, HttpVersion version, HttpFields headers, int lengthBytes) {

    boolean hasBody() {
        String contentLength = headers.get(HttpHeader.CONTENT_LENGTH);
        return headers.contains(HttpHeader.TRANSFER_ENCODING)
                || (contentLength != null && !contentLength.strip().equals("0"));
    }

    /** Tells whether the HTTP connection treats the request in no special way. */
    boolean isPlain() {
        return version == HttpVersion.HTTP_1_1
                && !hasBody()
                && target.startsWith("/")
                && !HttpMethod.CONNECT.is(method)
                && !headers.contains(HttpHeader.UPGRADE)
                && !headers.contains(HttpHeader.EXPECT)
                && headers.getValuesList(HttpHeader.HOST).size() == 1;
    }

    /** Tells whether the connection ends with the answer, so that nothing follows the request. */
    boolean closesConnection() {
        return closesConnection(version, headers);
    }

    static boolean closesConnection(HttpVersion version, HttpFields headers) {
        return version != HttpVersion.HTTP_1_1
                || headers.contains(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
    }

    CallerRequest toRequest(long arrivedMilliseconds) {
        return new CallerRequest(
                method, HttpURI.from(method, target), headers, -1, arrivedMilliseconds);
    }

    /** Tells whether the HTTP connection has read the same head. */
    boolean matches(Request request) {
        return method.equals(request.getMethod())
                && target.equals(request.getHttpURI().getPathQuery())
                && version == request.getConnectionMetaData().getHttpVersion()
                && hasHeaders(request.getHeaders());
    }

    private boolean hasHeaders(HttpFields others) {
        Iterator<HttpField> other = others.iterator();
        for (HttpField header : headers) {
            if (!other.hasNext() || !isSame(header, other.next())) {
                return false;
            }
        }
        return !other.hasNext();
    }

    private static boolean isSame(HttpField header, HttpField other) {
        return header.getName().equals(other.getName())
                && String.valueOf(header.getValue()).equals(String.valueOf(other.getValue()));
    }
}
