/** The latency and the success rate of each backend server, as this host observes them. */
package org.siskinramp.health;
