/** Holds the bodies of requests and answers in memory, and splits them for sending. */
package org.siskinramp.daemon.buffer;
