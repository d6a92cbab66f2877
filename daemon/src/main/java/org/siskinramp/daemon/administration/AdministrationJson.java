package org.siskinramp.daemon.administration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Writes and reads the JSON of the administration API: keys in lower case with underscores. */
public final class AdministrationJson {

    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    private AdministrationJson() {}

    /**
     * Writes a result type.
     *
     * @param value the value
     * @return its JSON
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException failure) {
            throw new ResultException(
                    ResultCode.INVARIANT_VIOLATED, "a result cannot be written as JSON", failure);
        }
    }

    /**
     * Reads a result type; unknown keys are passed over.
     *
     * @param <T> the result type
     * @param json the JSON
     * @param type the result type
     * @return the value
     * @throws ResultException with {@link ResultCode#ADMINISTRATION_UNREACHABLE} if the text is not
     *     such a result
     */
    public static <T> T read(String json, Class<T> type) {
        try {
            T value = MAPPER.readValue(json, type);
            if (value != null) {
                return value;
            }
        } catch (JsonProcessingException failure) {
            throw foreignAnswer(failure);
        }
        throw foreignAnswer(null);
    }

    private static ResultException foreignAnswer(Throwable cause) {
        return new ResultException(
                ResultCode.ADMINISTRATION_UNREACHABLE,
                "the answer is not from the administration API",
                cause);
    }
}
