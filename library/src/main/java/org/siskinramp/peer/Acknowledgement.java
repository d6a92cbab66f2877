package org.siskinramp.peer;

/**
 * Acknowledges the last heartbeat that arrived from the receiver of this message. It returns the
 * receiver's own time stamp, so that no clocks are compared between hosts.
 *
 * @param incarnation the incarnation of the receiver that sent the heartbeat
 * @param sentMilliseconds the receiver's monotonic time when it sent that heartbeat, in
 *     milliseconds
 */
public record Acknowledgement(String incarnation, long sentMilliseconds) {}
