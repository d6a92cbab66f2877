package org.siskinramp.daemon.caller;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.siskinramp.daemon.buffer.Slices;
import org.siskinramp.request.Answer;
import org.siskinramp.result.ResultException;

/** Writes answers and refusals to callers. */
final class AnswerWriter {

    private final CallerProtocol protocol;

    AnswerWriter(CallerProtocol protocol) {
        this.protocol = protocol;
    }

    void write(Answer answer, String requestId, Response response, Callback callback) {
        response.setStatus(answer.status());
        HttpFields.Mutable headers = response.getHeaders();
        answer.headers().forEach(header -> headers.add(header.name(), header.value()));
        protocol.addHeaders(answer, requestId, headers);
        writeBody(answer.body(), response, callback);
    }

    private static void writeBody(byte[] body, Response response, Callback callback) {
        ByteBuffer[] slices = Slices.of(body);
        if (slices.length > 1) {
            response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        }
        writeFrom(0, slices, response, callback);
    }

    private static void writeFrom(
            int index, ByteBuffer[] slices, Response response, Callback callback) {
        boolean last = index == slices.length - 1;
        Callback next =
                last
                        ? callback
                        : Callback.from(
                                () -> writeFrom(index + 1, slices, response, callback),
                                callback::failed);
        response.write(last, slices[index], next);
    }

    /** Writes a refusal; {@code requestId} is null if the request has no identifier. */
    void write(ResultException refusal, String requestId, Response response, Callback callback) {
        response.setStatus(protocol.statusOf(refusal));
        HttpFields.Mutable headers = response.getHeaders();
        headers.put(HttpHeader.CONTENT_TYPE, "application/json");
        protocol.addHeaders(refusal, requestId, headers);
        byte[] body = RefusalBody.of(refusal, requestId).toBytes();
        response.write(true, ByteBuffer.wrap(body), callback);
    }
}
