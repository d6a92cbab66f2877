package org.siskinramp.standin.proxy;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The direction in which bytes are dropped. */
enum DroppedDirection {
    /** No bytes are dropped. */
    @JsonProperty("none")
    NONE,
    /** Bytes to the target are dropped. */
    @JsonProperty("to_target")
    TO_TARGET,
    /** Bytes from the target are dropped. */
    @JsonProperty("from_target")
    FROM_TARGET
}
