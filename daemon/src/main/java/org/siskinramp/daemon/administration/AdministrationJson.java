package org.siskinramp.daemon.administration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Serialises the JSON of the administration API, whose keys are in snake case. */
public final class AdministrationJson {

    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    private AdministrationJson() {}

    /**
     * Serialises a result.
     *
     * @param value the result
     * @return its JSON text
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException failure) {
            throw new ResultException(
                    ResultCode.INVARIANT_VIOLATED,
                    "the result cannot be serialised as JSON",
                    failure);
        }
    }

    /**
     * Deserialises a result; unknown keys are ignored.
     *
     * @param <T> the type of the result
     * @param json the JSON text
     * @param type the class of the result
     * @return the result
     * @throws ResultException with {@link ResultCode#ADMINISTRATION_UNREACHABLE} if the text is not
     *     a result of this type
     */
    public static <T> T read(String json, Class<T> type) {
        try {
            T value = MAPPER.readValue(json, type);
            if (value != null) {
                return value;
            }
        } catch (JsonProcessingException failure) {
            throw malformedAnswer(failure);
        }
        throw malformedAnswer(null);
    }

    private static ResultException malformedAnswer(Throwable cause) {
        return new ResultException(
                ResultCode.ADMINISTRATION_UNREACHABLE,
                "the answer is not a valid answer of the administration API",
                cause);
    }
}
