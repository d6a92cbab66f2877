/** The backend servers that a host knows, with their load, health and availability. */
package org.siskinramp.fleet;
