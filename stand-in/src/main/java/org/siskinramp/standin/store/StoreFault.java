package org.siskinramp.standin.store;

/** Says how the store treats calls. */
public enum StoreFault {
    /** Calls are answered. */
    NONE,
    /** Calls are answered 503 and do nothing. */
    BUSY,
    /** Calls get no answer. */
    SILENT,
    /** The connections of calls are cut. */
    CUT
}
