/** The log of the daemon: one line of key=value pairs for each event, written with Log4j. */
package org.siskinramp.daemon.log;
