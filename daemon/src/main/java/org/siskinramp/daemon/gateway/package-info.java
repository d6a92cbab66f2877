/** The gateway process: the order in which its parts start and stop. */
package org.siskinramp.daemon.gateway;
