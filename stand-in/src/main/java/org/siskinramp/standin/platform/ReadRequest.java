package org.siskinramp.standin.platform;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.siskinramp.platform.RowKey;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/**
 * The body of a read of single rows.
 *
 * @param keys the keys of the rows
 */
record ReadRequest(@JsonProperty(required = true) List<RowKey> keys) {

    private static final int MAXIMUM_KEYS = 500;

    List<RowKey> validKeys() {
        if (keys == null || keys.size() > MAXIMUM_KEYS) {
            throw new ResultException(
                    ResultCode.REQUEST_INVALID, "keys: up to " + MAXIMUM_KEYS + " needed");
        }
        boolean incomplete =
                keys.stream().anyMatch(key -> key.table() == null || key.key() == null);
        if (incomplete) {
            throw new ResultException(ResultCode.REQUEST_INVALID, "table and key are needed");
        }
        return keys;
    }
}
