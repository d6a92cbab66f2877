/**
 * Decides how many slots of a backend server are usable while it is cold.
 *
 * <p>The holder of slot 0 judges a server. Every other host needs its recent word, and treats the
 * server as cold without one.
 */
package org.siskinramp.warmth;
