package org.siskinramp.daemon.caller;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.siskinramp.result.ResultException;

/** Holds the JSON body that goes with a result other than an answer. */
@JsonInclude(JsonInclude.Include.NON_NULL)
record RefusalBody(
        int code,
        String name,
        String message,
        boolean notRun,
        boolean copyNotRun,
        String requestId) {

    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .build();

    static RefusalBody of(ResultException refusal, String requestId) {
        return new RefusalBody(
                refusal.code().number(),
                refusal.code().name(),
                refusal.getMessage(),
                refusal.isNotRunInAnyCopy(),
                refusal.code().isNotRun(),
                requestId);
    }

    byte[] toBytes() {
        try {
            return MAPPER.writeValueAsBytes(this);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
