package org.siskinramp.daemon.administration.query;

/**
 * Describes the work of one service on this entry host.
 *
 * @param service the service
 * @param heldSlots slots that this entry host holds or has borrowed
 * @param busySlots how many of them have a request in progress
 * @param waitingRequests requests that wait for a slot
 */
public record ServiceStatus(String service, int heldSlots, int busySlots, int waitingRequests) {}
