package org.siskinramp.standin.platform;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Optional;
import org.siskinramp.platform.RowKey;
import org.siskinramp.platform.Write;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/**
 * The body of a transaction.
 *
 * @param writes the writes
 */
record TransactionRequest(@JsonProperty(required = true) List<Item> writes) {

    private static final int MAXIMUM_WRITES = 500;

    List<Write> toWrites() {
        if (writes == null || writes.size() > MAXIMUM_WRITES) {
            throw new ResultException(
                    ResultCode.REQUEST_INVALID, "writes: up to " + MAXIMUM_WRITES + " needed");
        }
        return writes.stream().map(Item::toWrite).toList();
    }

    /**
     * One write.
     *
     * @param table the table
     * @param key the key
     * @param value the new value, or null to delete the row
     * @param expectedVersion the version that the row must have; see {@link Write} for the special
     *     values
     */
    record Item(
            @JsonProperty(required = true) String table,
            @JsonProperty(required = true) String key,
            String value,
            @JsonProperty(required = true) Long expectedVersion) {

        Write toWrite() {
            if (table == null || key == null || expectedVersion == null) {
                throw new ResultException(
                        ResultCode.REQUEST_INVALID, "table, key and expected_version are needed");
            }
            if (expectedVersion < Write.ANY) {
                throw new ResultException(
                        ResultCode.REQUEST_INVALID, "expected_version is below -1");
            }
            return new Write(new RowKey(table, key), Optional.ofNullable(value), expectedVersion);
        }
    }
}
