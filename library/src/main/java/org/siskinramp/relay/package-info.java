/**
 * Lets a few hosts read the platform's tables and tell the others, so that the calls to the
 * platform do not grow with the number of hosts. Every host can read for itself at any time.
 */
package org.siskinramp.relay;
