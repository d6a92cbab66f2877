package org.siskinramp.standin.store;

/** A fault that the store injects into all calls. */
public enum StoreFault {
    /** Calls are answered as they should be. */
    NONE,
    /** Calls are answered 503 and have no effect. */
    BUSY,
    /** Calls get no answer and have no effect; their connections stay open. */
    SILENT,
    /** Calls have no effect; their connections are closed without an answer. */
    CUT
}
