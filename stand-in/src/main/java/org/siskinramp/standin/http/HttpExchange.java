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
import java.util.stream.Stream;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.siskinramp.request.Header;

/** A request with its whole body. It can be answered once, also after the handler has returned. */
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
     * Returns the rest of the path after a prefix, decoded.
     *
     * @param prefix the prefix, with which the path must start
     * @return the decoded rest
     */
    public String decodedPathAfter(String prefix) {
        String rest = path().substring(prefix.length()).replace("+", "%2B");
        return URLDecoder.decode(rest, StandardCharsets.UTF_8);
    }

    /**
     * Returns the decoded value of a query parameter.
     *
     * @param name the name
     * @return the value, or an empty string if it is absent
     */
    public String queryParameter(String name) {
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
     * Returns all fields of the request as they were sent.
     *
     * @return the header fields, followed by those of the trailer
     */
    public List<Header> fields() {
        HttpFields trailer = request.getTrailers();
        return Stream.concat(
                        request.getHeaders().stream(),
                        trailer == null ? Stream.empty() : trailer.stream())
                .map(field -> new Header(field.getName(), field.getValue()))
                .toList();
    }

    /**
     * Returns the whole body. Callers must not modify the array.
     *
     * @return the body
     */
    public byte[] body() {
        return body;
    }

    /**
     * Answers with JSON. Does nothing if the exchange has ended already.
     *
     * @param status the HTTP status
     * @param value the value
     */
    public void answerJson(int status, Object value) {
        answer(status, List.of(new Header("Content-Type", "application/json")), Json.write(value));
    }

    /**
     * Answers. Does nothing if the exchange has ended already.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param content the body
     */
    public void answer(int status, List<Header> headers, byte[] content) {
        if (markEnded()) {
            setHead(status, headers);
            response.write(true, ByteBuffer.wrap(content), callback);
        }
    }

    /**
     * Answers like {@link #answer}, but sends bytes before that if the connection was used before.
     *
     * @param stray the bytes
     * @param status the HTTP status
     * @param headers the headers
     * @param content the body
     */
    public void answerAfterStrayBytes(
            byte[] stray, int status, List<Header> headers, byte[] content) {
        if (request.getConnectionMetaData().getConnection().getMessagesIn() <= 1) {
            answer(status, headers, content);
            return;
        }
        Runnable answer = () -> answer(status, headers, content);
        endPoint().write(Callback.from(answer, failure -> answer.run()), ByteBuffer.wrap(stray));
    }

    /**
     * Announces the length of a whole body, sends only its beginning and closes the connection.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param content the body whose length is announced
     * @param sentBytes how many bytes of it are sent
     */
    public void answerTruncated(int status, List<Header> headers, byte[] content, int sentBytes) {
        if (markEnded()) {
            setHead(status, headers);
            response.getHeaders().put("Content-Length", content.length);
            ByteBuffer beginning = ByteBuffer.wrap(content, 0, Math.min(sentBytes, content.length));
            response.write(
                    false,
                    beginning,
                    Callback.from(this::closeConnection, failure -> closeConnection()));
        }
    }

    /**
     * Sends an endless body chunk by chunk, until the client closes the connection.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param chunk the content of each chunk
     * @param intervalMilliseconds the pause between chunks, in milliseconds
     */
    public void answerEndlessly(
            int status, List<Header> headers, byte[] chunk, long intervalMilliseconds) {
        if (markEnded()) {
            setHead(status, headers);
            sendChunk(chunk, intervalMilliseconds);
        }
    }

    private void sendChunk(byte[] chunk, long intervalMilliseconds) {
        Runnable next = () -> sendChunk(chunk, intervalMilliseconds);
        Executor delayed =
                CompletableFuture.delayedExecutor(intervalMilliseconds, TimeUnit.MILLISECONDS);
        response.write(
                false,
                ByteBuffer.wrap(chunk),
                Callback.from(() -> delayed.execute(next), callback::failed));
    }

    /**
     * Sends a header with an endless value, until the client closes the connection.
     *
     * @param chunkBytes how many bytes of the value are sent at a time
     */
    public void sendEndlessHead(int chunkBytes) {
        if (markEnded()) {
            byte[] start = "HTTP/1.1 200 OK\r\nEndless: ".getBytes(StandardCharsets.US_ASCII);
            byte[] chunk = new byte[chunkBytes];
            Arrays.fill(chunk, (byte) 'x');
            Runnable[] next = new Runnable[1];
            Callback written = Callback.from(() -> next[0].run(), failure -> closeConnection());
            next[0] = () -> endPoint().write(written, ByteBuffer.wrap(chunk));
            endPoint().write(written, ByteBuffer.wrap(start));
        }
    }

    /** Closes the connection without an answer. */
    public void drop() {
        if (markEnded()) {
            closeConnection();
        }
    }

    /**
     * Tells whether the client has cancelled the request by closing the connection. A byte that
     * arrives before the answer counts as closed too, since a connection carries one request at a
     * time.
     *
     * @return true if the client no longer waits for the answer; false if the exchange has ended
     */
    public synchronized boolean isCancelled() {
        if (ended) {
            return false;
        }
        try {
            return endPoint().fill(BufferUtil.allocate(1)) != 0;
        } catch (IOException failure) {
            return true;
        }
    }

    private synchronized boolean markEnded() {
        boolean first = !ended;
        ended = true;
        return first;
    }

    private void setHead(int status, List<Header> headers) {
        response.setStatus(status);
        headers.forEach(header -> response.getHeaders().put(header.name(), header.value()));
    }

    private void closeConnection() {
        endPoint().close();
        callback.failed(new EofException("connection closed without a complete answer"));
    }

    private EndPoint endPoint() {
        return request.getConnectionMetaData().getConnection().getEndPoint();
    }
}
