/** The thread pool that runs immediate and delayed tasks. */
package org.siskinramp.daemon.worker;
