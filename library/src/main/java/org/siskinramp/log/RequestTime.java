package org.siskinramp.log;

/** Names the times of a request that are measured. */
public enum RequestTime {
    /** From its arrival, or from a failed attempt, until it was sent to a backend server. */
    WAITING,
    /** From when it was sent until the backend server's answer. */
    AT_SERVER,
    /** From its arrival until its end. */
    WHOLE
}
