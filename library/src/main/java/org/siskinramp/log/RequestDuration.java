package org.siskinramp.log;

/** Names the measured durations of a request. */
public enum RequestDuration {
    /** From the arrival, or from a failed attempt, until the request is sent to a server. */
    WAITING,
    /** From the sending of the request to a backend server until its complete answer. */
    AT_SERVER,
    /** From the arrival until the end of the request. */
    WHOLE
}
