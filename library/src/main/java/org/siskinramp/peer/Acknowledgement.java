package org.siskinramp.peer;

/**
 * Repeats when the receiver of this heartbeat sent the last one that arrived here.
 *
 * @param incarnation the incarnation of the receiver that was heard
 * @param sentMilliseconds the receiver's own monotonic time of that heartbeat
 */
public record Acknowledgement(String incarnation, long sentMilliseconds) {}
