/** The process around a gateway: its order of start and stop. */
package org.siskinramp.daemon.gateway;
