package org.siskinramp.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Maps values from and to JSON. The names of JSON fields are in snake case. */
public final class Json {

    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .build();

    private Json() {}

    /**
     * Parses one value.
     *
     * @param content the JSON text in UTF-8
     * @param type the type of the value
     * @param <T> the type of the value
     * @return the value
     * @throws ResultException with {@link ResultCode#REQUEST_INVALID} if the text is malformed,
     *     does not match the type or is null
     */
    public static <T> T read(byte[] content, Class<T> type) {
        T value;
        try {
            value = MAPPER.readValue(content, type);
        } catch (IOException failure) {
            throw new ResultException(ResultCode.REQUEST_INVALID, "JSON: " + failure.getMessage());
        }
        if (value == null) {
            throw new ResultException(ResultCode.REQUEST_INVALID, "JSON: null");
        }
        return value;
    }

    /**
     * Writes one value.
     *
     * @param value the value
     * @return the JSON text in UTF-8
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
