package org.siskinramp.daemon.caller;

/**
 * Holds the answer of a page for operators and machines, beside the requests of callers.
 *
 * @param status the HTTP status
 * @param contentType the media type
 * @param body the body
 */
@SuppressWarnings("ArrayRecordComponent")
public record SidePage(int status, String contentType, byte[] body) {}
