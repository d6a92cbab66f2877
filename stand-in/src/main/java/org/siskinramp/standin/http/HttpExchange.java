package org.siskinramp.standin.http;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.siskinramp.request.Header;

/** Holds a whole request and the one answer that it may be given, now or later. */
public final class HttpExchange {

    private final Request request;
    private final Response response;
    private final Callback callback;
    private final byte[] body;
    private final Fields query;
    private boolean ended;

    HttpExchange(Request request, Response response, Callback callback, byte[] body) {
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.body = body;
        this.query = Request.extractQueryParameters(request);
    }

    /**
     * Returns the HTTP method.
     *
     * @return the method
     */
    public String method() {
        return request.getMethod();
    }

    /**
     * Returns the path as it was sent, without the query.
     *
     * @return the encoded path
     */
    public String path() {
        return request.getHttpURI().getPath();
    }

    /**
     * Decodes what follows a prefix of the path.
     *
     * @param prefix the prefix, which the path starts with
     * @return the decoded rest
     */
    public String pathAfter(String prefix) {
        String rest = path().substring(prefix.length()).replace("+", "%2B");
        return URLDecoder.decode(rest, StandardCharsets.UTF_8);
    }

    /**
     * Returns a query parameter.
     *
     * @param name the name
     * @return the value, or an empty string
     */
    public String query(String name) {
        String value = query.getValue(name);
        return value == null ? "" : value;
    }

    /**
     * Returns a request header.
     *
     * @param name the field name
     * @return the first value
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(request.getHeaders().get(name));
    }

    /**
     * Returns the whole body. It must not be changed.
     *
     * @return the body
     */
    public byte[] body() {
        return body;
    }

    /**
     * Answers with JSON. Only the first answer counts.
     *
     * @param status the HTTP status
     * @param value the value
     */
    public void answerJson(int status, Object value) {
        answer(status, List.of(new Header("Content-Type", "application/json")), Json.write(value));
    }

    /**
     * Answers. Only the first answer counts.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param content the body
     */
    public void answer(int status, List<Header> headers, byte[] content) {
        if (end()) {
            begin(status, headers);
            response.write(true, ByteBuffer.wrap(content), callback);
        }
    }

    /**
     * Announces a whole body, sends its beginning and cuts the connection.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param content the body that is announced
     * @param length how many bytes of it are sent
     */
    public void answerShort(int status, List<Header> headers, byte[] content, int length) {
        if (end()) {
            begin(status, headers);
            response.getHeaders().put("Content-Length", content.length);
            ByteBuffer beginning = ByteBuffer.wrap(content, 0, Math.min(length, content.length));
            response.write(false, beginning, Callback.from(this::cut, failure -> cut()));
        }
    }

    /**
     * Sends parts of a body, one after the other, until the other end closes the connection.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param part each part
     * @param gapMilliseconds the pause between parts
     */
    public void answerWithoutEnd(
            int status, List<Header> headers, byte[] part, long gapMilliseconds) {
        if (end()) {
            begin(status, headers);
            sendPart(part, gapMilliseconds);
        }
    }

    private void sendPart(byte[] part, long gapMilliseconds) {
        Runnable next = () -> sendPart(part, gapMilliseconds);
        Executor later = CompletableFuture.delayedExecutor(gapMilliseconds, TimeUnit.MILLISECONDS);
        response.write(
                false,
                ByteBuffer.wrap(part),
                Callback.from(() -> later.execute(next), callback::failed));
    }

    /**
     * Sends a header whose value does not end, until the other end closes the connection.
     *
     * @param partBytes how much is sent at a time
     */
    public void sendHeadWithoutEnd(int partBytes) {
        if (end()) {
            byte[] begin = "HTTP/1.1 200 OK\r\nEndless: ".getBytes(StandardCharsets.US_ASCII);
            byte[] part = new byte[partBytes];
            Arrays.fill(part, (byte) 'x');
            Runnable[] next = new Runnable[1];
            Callback written = Callback.from(() -> next[0].run(), failure -> cut());
            next[0] = () -> endPoint().write(written, ByteBuffer.wrap(part));
            endPoint().write(written, ByteBuffer.wrap(begin));
        }
    }

    /** Cuts the connection without an answer. */
    public void drop() {
        if (end()) {
            cut();
        }
    }

    /**
     * Looks whether the other end has closed the connection. A byte that arrives before the answer
     * counts as closed too, since one connection carries one request at a time.
     *
     * @return true if nobody waits for the answer
     */
    public synchronized boolean isAbandoned() {
        if (ended) {
            return false;
        }
        try {
            return endPoint().fill(BufferUtil.allocate(1)) != 0;
        } catch (IOException failure) {
            return true;
        }
    }

    private synchronized boolean end() {
        boolean first = !ended;
        ended = true;
        return first;
    }

    private void begin(int status, List<Header> headers) {
        response.setStatus(status);
        headers.forEach(header -> response.getHeaders().put(header.name(), header.value()));
    }

    private void cut() {
        endPoint().close();
        callback.failed(new EofException("cut"));
    }

    private EndPoint endPoint() {
        return request.getConnectionMetaData().getConnection().getEndPoint();
    }
}
