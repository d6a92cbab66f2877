package org.siskinramp.peer;

/**
 * Says how many slots of a backend server are usable.
 *
 * @param backendServer the backend server
 * @param allowance the number of usable slots, from 0
 * @param bootIdentity the start of the server that the word is about
 */
public record ServerAllowance(String backendServer, int allowance, String bootIdentity) {}
