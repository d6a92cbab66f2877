package org.siskinramp.daemon.administration.query;

/**
 * The load of a service on this entry host.
 *
 * @param service the name of the service
 * @param heldSlots the number of slots that this entry host holds or has borrowed
 * @param busySlots the number of these slots with a request in progress
 * @param waitingRequests the number of requests that wait for a slot
 */
public record ServiceStatus(String service, int heldSlots, int busySlots, int waitingRequests) {}
