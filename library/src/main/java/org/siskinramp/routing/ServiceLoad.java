package org.siskinramp.routing;

/**
 * Describes the current load of one service on this entry host.
 *
 * @param service the service's name
 * @param heldSlots the number of slots that this host holds or has borrowed
 * @param busySlots how many of them have a request in progress
 * @param waitingRequests the number of requests that wait for a slot
 */
public record ServiceLoad(String service, int heldSlots, int busySlots, int waitingRequests) {}
