/**
 * Relays reads of the platform's tables from a few hosts to the others, so that the calls to the
 * platform do not grow with the number of hosts. Every host can read the tables itself at any time.
 */
package org.siskinramp.relay;
