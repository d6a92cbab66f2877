/** The daemon that runs on an entry host. */
package org.siskinramp.daemon;
