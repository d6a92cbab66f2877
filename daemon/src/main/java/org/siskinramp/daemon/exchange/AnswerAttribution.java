package org.siskinramp.daemon.exchange;

/** How an answer relates to the request that was sent before it on the connection. */
public enum AnswerAttribution {
    /** The answer names the request. */
    PROVEN,
    /**
     * The answer names no request and may be the answer. It may also be additional bytes that a
     * faulty server sent after an earlier answer.
     */
    UNPROVEN,
    /** The answer belongs to another request. */
    FOREIGN
}
