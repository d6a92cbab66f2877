/**
 * Warms up backend servers: limits how many of a cold server's slots may be used, and raises the
 * limit (the allowance) step by step.
 *
 * <p>The entry host that holds slot 0 of a server is the server's warm-up coordinator and decides
 * the allowance. Every other entry host needs a recent allowance update from the coordinator, and
 * uses no slot of its own on that server without one.
 */
package org.siskinramp.warmth;
