package org.siskinramp.peer;

/**
 * States how many slots of a backend server may be used.
 *
 * @param backendServer the backend server
 * @param allowance the number of usable slots, or -1 if the sender does not coordinate the warm-up
 *     of the server
 * @param bootIdentity the boot identity of the server process to which the allowance applies, or an
 *     empty string
 */
public record ServerAllowance(String backendServer, int allowance, String bootIdentity) {}
