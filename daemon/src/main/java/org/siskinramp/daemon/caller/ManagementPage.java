package org.siskinramp.daemon.caller;

/**
 * The content of a page for operators and monitoring, such as readiness or metrics.
 *
 * @param status the HTTP status
 * @param contentType the media type
 * @param body the bytes of the page
 */
@SuppressWarnings("ArrayRecordComponent")
public record ManagementPage(int status, String contentType, byte[] body) {}
