/** Sends attempts and probes to backend servers. */
package org.siskinramp.daemon.backend;
