/**
 * Keeps which requests ended the backend servers that ran them, and refuses those that ended
 * several. Nothing here opens a socket or reads another clock than the one that it is given.
 */
package org.siskinramp.quarantine;
