/**
 * Keeps the requests that crashed the backend servers that ran them, and refuses those that crashed
 * several servers. The package opens no sockets and reads no clock but the one that it is given.
 */
package org.siskinramp.quarantine;
