package org.siskinramp.daemon.caller;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.siskinramp.result.ResultException;

/** The JSON body of a refusal or a failure. */
record RefusalBody(
        int code,
        String name,
        String message,
        boolean notRun,
        boolean copyNotRun,
        String requestId) {

    private static final JsonFactory JSON = new JsonFactory();

    static RefusalBody of(ResultException refusal, String requestId) {
        return new RefusalBody(
                refusal.code().number(),
                refusal.code().name(),
                refusal.getMessage(),
                refusal.isNotRunInAnyCopy(),
                refusal.code().isNotRun(),
                requestId);
    }

    /** Written field by field, since reflective mapping makes the first refusal slow. */
    byte[] toBytes() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator generator = JSON.createGenerator(bytes)) {
            generator.writeStartObject();
            generator.writeNumberField("code", code);
            generator.writeStringField("name", name);
            generator.writeStringField("message", message);
            generator.writeBooleanField("not_run", notRun);
            generator.writeBooleanField("copy_not_run", copyNotRun);
            if (requestId != null) {
                generator.writeStringField("request_id", requestId);
            }
            generator.writeEndObject();
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
        return bytes.toByteArray();
    }
}
